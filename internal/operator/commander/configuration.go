package commander

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

func newConfiguration() *cobra.Command {
	var daemon, file string
	cmd := &cobra.Command{
		Use:   "configuration",
		Short: "Show the configuration in force, or replace it from a file",
		Long: `Without --set, show the configuration in force. With --set, replace services,
teams, shards and weights by those of the file (JSON with comments), whose
revision must be the one in force, 0 for the first. Drains and evacuations change by intents.`,
		Example: `  dotterelcart configuration --format json
  dotterelcart configuration --set fleet.hujson`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var current describer.Configuration
			address := "http://" + daemon + "/v1/configuration"
			if file == "" {
				if err := send(cmd.Context(), http.MethodGet, address, nil, &current); err != nil {
					return err
				}
				return output(cmd, current, printConfiguration)
			}
			wanted, err := readFleet(file)
			if err != nil {
				return err
			}
			if err := send(cmd.Context(), http.MethodPut, address, wanted, &current); err != nil {
				return err
			}
			return output(cmd, current, printConfiguration)
		},
	}
	addDaemonFlag(cmd, &daemon)
	addFormatFlag(cmd)
	cmd.Flags().StringVar(&file, "set", "", "file with the configuration to put in force")
	return cmd
}

func printConfiguration(w io.Writer, c describer.Configuration) {
	fmt.Fprintf(w, "revision %d\n", c.Revision)
	for _, s := range c.Services {
		fmt.Fprintf(w, "service %s: p99 within %s\n", s.Name, s.Target)
	}
	for _, t := range c.Teams {
		fmt.Fprintf(w, "team %s: weight %d, quota %+v\n", t.Name, t.Weight, t.Quota)
	}
	for _, s := range c.Shards {
		fmt.Fprintf(w, "shard %s in %s: racks %v\n", s.ID, s.Domain, s.Racks)
	}
	for _, d := range c.Drains {
		fmt.Fprintf(w, "drain %s of %v: %s, restored %v\n", d.ID, d.Workers, d.State, d.Restored)
	}
	for _, e := range c.Evacuations {
		fmt.Fprintf(w, "evacuation %s of domain %s\n", e.ID, e.Domain)
	}
}
