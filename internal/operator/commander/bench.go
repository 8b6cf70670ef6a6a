package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/evaluator"
)

// newBench returns the command that groups the benchmarks.
func newBench() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure decisions in virtual time",
	}
	cmd.AddCommand(newBenchPolicy())
	return cmd
}

func newBenchPolicy() *cobra.Command {
	var options evaluator.Options
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare the placement policy with its baselines in simulations",
		Long: `Simulate a morning of both deployments for each seed and policy, and print
tail latency, batch work done, evictions and the duration of a restore. The
result depends on the seeds only, not on the machine.`,
		Example: "  dotterelcart bench policy --seeds 3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report := evaluator.Run(options)
			fmt.Fprint(cmd.OutOrStdout(), report.Table())
			return nil
		},
	}
	cmd.Flags().IntVar(&options.Seeds, "seeds", 10, "number of mornings")
	cmd.Flags().Uint64Var(&options.FirstSeed, "first", 1, "first seed")
	cmd.Flags().IntVar(&options.Parallel, "parallel", 2, "simulations that run in parallel")
	return cmd
}
