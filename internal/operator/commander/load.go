package commander

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/traffic/loader"
)

func newLoad() *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "load FILE",
		Short: "Send an open-loop load to entry hosts and report latencies",
		Long: `Send an open-loop load to entry hosts. Latencies are measured from the time that
a request was due, so that a slow response does not hide the delay of the
requests behind it.`,
		Example: "  dotterelcart load morning.hujson --plot morning.svg",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			source, err := os.ReadFile(args[0])
			if err != nil {
				return exitUsage(err)
			}
			settings, err := loader.Parse(source)
			if err != nil {
				return invalidFile(args[0], err)
			}
			report, err := loader.Run(cmd.Context(), loader.Options{Settings: settings})
			if err != nil {
				return exitFailed(err)
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Table())
			return savePlot(plot, &report)
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "file for the SVG plot of latencies")
	return cmd
}

// savePlot writes the plot to the file with this name, if it isn't empty.
func savePlot(name string, report *loader.Report) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return exitFailed(err)
	}
	defer file.Close()
	if err := report.Plot(file); err != nil {
		return exitFailed(err)
	}
	return nil
}
