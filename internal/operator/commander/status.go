package commander

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
)

func newStatus() *cobra.Command {
	var daemon, worker string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show shards and workers, and what blocks a restore",
		Example: `  dotterelcart status
  dotterelcart status --why bne-w1`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var reports []reducer.Status
			address := "http://" + daemon + "/v1/status?worker=" + url.QueryEscape(worker)
			if err := send(cmd.Context(), http.MethodGet, address, nil, &reports); err != nil {
				return err
			}
			return output(cmd, reports, printStatus)
		},
	}
	addDaemonFlag(cmd, &daemon)
	addFormatFlag(cmd)
	cmd.Flags().StringVar(&worker, "why", "", "explain the decisions about this worker")
	return cmd
}

func printStatus(w io.Writer, reports []reducer.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	for _, report := range reports {
		fmt.Fprintf(t, "%s\trevision %d\tready %t\tstore %t\n", report.Daemon, report.Revision, report.Ready, report.StoreReachable)
		for _, e := range report.Evacuations {
			fmt.Fprintf(t, "  domain %s\tevacuated by %s\n", e.Domain, e.ID)
		}
		for _, s := range report.Shards {
			fmt.Fprintf(t, "  shard %s\tepoch %d\t%s\t%d workers\t%d pending\t%d started\t%d done\t%d evicted\n",
				s.Shard, s.Epoch, s.Phase, s.Workers, s.Pending, s.Started, s.Done, s.Evictions)
		}
		for _, worker := range report.Workers {
			printWorker(t, worker)
		}
	}
}

func printWorker(w io.Writer, s reducer.WorkerStatus) {
	fmt.Fprintf(w, "  worker %s\t%d tasks\tcpu %d of %d m\tmemory %d of %d MiB",
		s.Worker, s.Tasks, s.Granted.CPU, s.Capacity.CPU, s.Granted.Memory, s.Capacity.Memory)
	for _, part := range []string{s.Drain, s.RestoreBlockedBy, s.ClosedReason} {
		if part != "" {
			fmt.Fprintf(w, "\t%s", part)
		}
	}
	fmt.Fprintln(w)
	if len(s.Interference) > 0 {
		fmt.Fprintf(w, "    %s\n", strings.Join(s.Interference, "\n    "))
	}
}
