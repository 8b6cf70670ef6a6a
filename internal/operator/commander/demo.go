package commander

import (
	"encoding/json"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/demonstrator"
)

func newDemo() *cobra.Command {
	var (
		options demonstrator.Options
		level   string
	)
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run three failure domains with their stand-ins in one process",
		Long: `Run three failure domains in two regions in one process over loopback TCP:
interactive load, a batch wave, a drain and its restore. The last line on
stdout is a JSON object. The exit code is 1 if an answer was wrong, a request
was cut off or ran twice, a job was lost, a worker was overcommitted, or a
drained worker did not get its work back.`,
		Example: "  dotterelcart demo --seed 1 --seconds 20 --fault kill",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Log = newLogger(cmd.ErrOrStderr(), level)
			file, ok := cmd.ErrOrStderr().(*os.File)
			options.Terminal = ok && isatty.IsTerminal(file.Fd())
			report, err := demonstrator.Run(cmd.Context(), options, cmd.OutOrStdout(), cmd.ErrOrStderr())
			if err != nil {
				return exitFailed(err)
			}
			if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
				return exitFailed(err)
			}
			if !report.OK() {
				return &exitError{code: ExitFailed}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of load and faults")
	cmd.Flags().IntVar(&options.Seconds, "seconds", 20, "duration of the load in seconds")
	cmd.Flags().StringVar(&options.Fault, "fault", "none", "none, kill, outage, partition, silence, pause or all")
	cmd.Flags().StringVar(&level, "log", "disabled", "level of the daemons' logs on stderr")
	return cmd
}
