package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for a part of the platform, for trials and tests only",
		Long:  "Run a stand-in for a part of the platform, for trials and tests only. The\nprotocols are in docs/PLATFORM.md. The first line on stdout is the address.",
	}
	cmd.AddCommand(newStore(), newHosts(), newWorkers(), newBalancer(), newLinks())
	return cmd
}

func newStore() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "store",
		Short:   "Run the key-value store, in memory",
		Example: "  dotterelcart standin store --listen 127.0.0.1:7100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := keeper.New(listen)
			if err != nil {
				return exitFailed(err)
			}
			return serveUntilSignal(cmd, store.Address, store.Close)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address, ip:port")
	return cmd
}

func newHosts() *cobra.Command {
	var (
		listen string
		lag    time.Duration
	)
	cmd := &cobra.Command{
		Use:     "hosts",
		Short:   "Run the host list, which lags behind changes; PUT /v1/hosts sets it",
		Example: "  dotterelcart standin hosts --listen 127.0.0.1:7200 --lag 2s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hosts, err := registrar.New(listen, lag)
			if err != nil {
				return exitFailed(err)
			}
			return serveUntilSignal(cmd, hosts.Address, hosts.Close)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address, ip:port")
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "time until a change is visible")
	return cmd
}

func newWorkers() *cobra.Command {
	var (
		listen, hosts, region, domain, service string
		count                                  int
	)
	cmd := &cobra.Command{
		Use:     "workers",
		Short:   "Run workers of one failure domain, 8 to a rack, and add them to the host list",
		Example: "  dotterelcart standin workers --domain seq-bne --region seq --count 6 --service menu-desk --hosts 127.0.0.1:7200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := hoster.NewFleet(listen, workerOptions(region, domain, service, count))
			if err != nil {
				return exitFailed(err)
			}
			if hosts != "" {
				if err := addHosts(cmd.Context(), hosts, fleet.Hosts()); err != nil {
					return err
				}
			}
			return serveUntilSignal(cmd, fleet.Address, fleet.Close)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address of the HTTP interface that controls the workers, ip:port")
	flags.StringVar(&hosts, "hosts", "", "host list to add the workers to, ip:port")
	flags.StringVar(&region, "region", "seq", "region")
	flags.StringVar(&domain, "domain", "seq-bne", "failure domain")
	flags.StringVar(&service, "service", "menu-desk", "service that the backend servers answer for")
	flags.IntVar(&count, "count", 6, "number of workers")
	return cmd
}

func newBalancer() *cobra.Command {
	var (
		listen  string
		entries []string
		check   time.Duration
	)
	cmd := &cobra.Command{
		Use:     "balancer",
		Short:   "Run the platform's load balancer, which forwards to ready entry hosts",
		Example: "  dotterelcart standin balancer --listen 127.0.0.1:7400 --entry 127.0.0.1:7000 --entry 127.0.0.1:7010",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			targets := make([]balancer.Target, len(entries))
			for i, address := range entries {
				targets[i] = balancer.Target{Address: address, CheckURL: "http://" + address + "/ready"}
			}
			b, err := balancer.New(listen, targets, check)
			if err != nil {
				return exitFailed(err)
			}
			return serveUntilSignal(cmd, b.Address, b.Close)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address, ip:port")
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "caller address of an entry host, ip:port; may be repeated")
	cmd.Flags().DurationVar(&check, "check", 200*time.Millisecond, "interval between readiness checks")
	return cmd
}

func newLinks() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "links",
		Short:   "Run links between failure domains with delay and bandwidth limits, configured over HTTP",
		Example: "  dotterelcart standin links --listen 127.0.0.1:7500",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hub, err := delayer.NewHub(listen)
			if err != nil {
				return exitFailed(err)
			}
			return serveUntilSignal(cmd, hub.Address, hub.Close)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address of the hub, ip:port")
	return cmd
}

// workersPerRack is the number of workers in a rack, but for the last one.
const workersPerRack = 8

// workerOptions describes count workers of a failure domain.
func workerOptions(region, domain, service string, count int) []hoster.Options {
	options := make([]hoster.Options, count)
	for i := range options {
		options[i] = hoster.Options{
			Host: describer.Host{
				Name:     fmt.Sprintf("%s-w%d", domain, i+1),
				Role:     describer.Worker,
				Region:   region,
				Domain:   domain,
				Rack:     fmt.Sprintf("%s-r%d", domain, i/workersPerRack+1),
				State:    describer.Live,
				Capacity: describer.Resources{CPU: 64_000, Memory: 250 << 10},
				Services: []string{service},
			},
			ServiceTime: 5 * time.Millisecond,
			ReportDelay: time.Second,
		}
	}
	return options
}

// addHosts adds hosts to the host list that is served at address. Changes made
// between its read and its write are lost.
func addHosts(ctx context.Context, address string, added []describer.Host) error {
	var hosts []describer.Host
	url := "http://" + address + "/v1/hosts"
	if err := send(ctx, "GET", url, nil, &hosts); err != nil {
		return err
	}
	var ignored json.RawMessage
	return send(ctx, "PUT", url, append(hosts, added...), &ignored)
}

// serveUntilSignal prints the address, waits for a signal and calls end.
func serveUntilSignal(cmd *cobra.Command, address string, end func() error) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fmt.Fprintln(cmd.OutOrStdout(), address)
	<-ctx.Done()
	return end()
}
