package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/inspector"
)

func newCheck(kinds []inspector.Kind) *cobra.Command {
	var against, workers string
	in := inspector.Input{}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings or configuration file and list every error with its position",
		Long: `Check a file before it is used: a daemon's settings, the configuration that
"configuration --set" takes, or the platform's configuration. The kind of the
file is found by its content unless --kind states it. The command reads files
only; it calls no daemon.

With --against, list the differences from the version in force, a file of the
same kind or the output of "configuration --format json". With --workers,
report services, racks and domains without workers; the file has a JSON array
of hosts as in the host list, or of registrations for the platform's
configuration.

The exit code is 0 without errors, 1 with errors, 2 for wrong usage.`,
		Example: `  dotterelcart check entry.hujson
  dotterelcart check fleet.hujson --against in-force.json --format json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in.File = args[0]
			if err := readInput(&in, against, workers); err != nil {
				return exitUsage(err)
			}
			return check(cmd, kinds, in)
		},
	}
	addFormatFlag(cmd)
	cmd.Flags().StringVar(&in.Kind, "kind", "", "kind of the file: settings, configuration or platform")
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force")
	cmd.Flags().StringVar(&workers, "workers", "", "file with the registered workers")
	return cmd
}

// readInput reads the file to check, and the files with the version in force and the
// registered workers unless their names are empty.
func readInput(in *inspector.Input, against, workers string) error {
	for _, f := range []struct {
		name string
		into *[]byte
	}{{in.File, &in.Source}, {against, &in.Against}, {workers, &in.Workers}} {
		if f.name == "" {
			continue
		}
		content, err := os.ReadFile(f.name)
		if err != nil {
			return err
		}
		*f.into = content
	}
	return nil
}

// check prints the report of a check. The error sets the exit code if the file has errors.
func check(cmd *cobra.Command, kinds []inspector.Kind, in inspector.Input) error {
	report, err := inspector.Inspect(kinds, in)
	if err != nil {
		return exitUsage(err)
	}
	err = output(cmd, report, func(w io.Writer, r inspector.Report) { fmt.Fprint(w, r.Text()) })
	if err == nil && report.Errors > 0 {
		return exitFailed(nil)
	}
	return err
}
