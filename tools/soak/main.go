// Command soak plays the built daemon as real processes, see package soaker.
//
//	go run ./tools/soak --program target/dotterelcart --seeds 1-20 --logs /tmp/soak
//
// It exits with status 1 if a play broke a rule, and 2 if a play couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/platform/soaker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(2)
	}
	switch {
	case faulty:
		stop()
		os.Exit(2)
	case broken:
		stop()
		os.Exit(1)
	}
}

var (
	broken bool // a play has broken a rule
	faulty bool // a play couldn't run as it should
)

func newCommand() *cobra.Command {
	var (
		o        soaker.Options
		seeds    string
		logs     string
		troubles []string
		keepAll  bool
	)
	cmd := &cobra.Command{
		Use: "soak", Short: "Play the daemon as real processes among troubles", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var first, last uint64
			if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil {
				return fmt.Errorf("seeds must be FIRST-LAST: %w", err)
			}
			for _, t := range soaker.Troubles() {
				if len(troubles) == 0 || strings.Contains(","+strings.Join(troubles, ",")+",", ","+t.String()+",") {
					o.Troubles = append(o.Troubles, t)
				}
			}
			if err := os.MkdirAll(logs, 0o755); err != nil {
				return err
			}
			for seed := first; seed <= last && cmd.Context().Err() == nil; seed++ {
				o.Seed = seed
				if err := playOne(cmd.Context(), o, logs, keepAll); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Program, "program", "target/dotterelcart", "program of the daemon")
	f.StringVar(&seeds, "seeds", "1-1", "seeds of the plays, FIRST-LAST")
	f.StringVar(&logs, "logs", "target/soak", "folder for the records of plays that break a rule")
	f.DurationVar(&o.Length, "length", 30*time.Second, "length of the load of a play")
	f.IntVar(&o.Daemons, "daemons", 4, "number of daemons")
	f.IntVar(&o.Workers, "workers", 12, "number of workers")
	f.IntVar(&o.Regions, "regions", 2, "number of regions, 1 or 2")
	f.Float64Var(&o.HostCPU, "cpu", 0.03, "share of a processor in the daemons' settings; a small one makes several shards")
	f.StringSliceVar(&troubles, "troubles", nil, "kinds of troubles: restart, suspend, kill, turn-away, cut-off, hold, wave, lose, replace (default all)")
	f.DurationVar(&o.Calm, "calm", 0, "time without troubles after each series of them; 0 for an endless series")
	f.IntVar(&o.LongRunning, "lasting", 2, "number of jobs of long-running tasks")
	f.Float64Var(&o.Failing, "failing", 0, "share of the runs of long-running tasks that fail by themselves")
	f.BoolVar(&keepAll, "keep", false, "keep the record of each play")
	return cmd
}

// playOne plays one seed and prints the outcome.
func playOne(ctx context.Context, o soaker.Options, logs string, keepAll bool) error {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder) //nolint:errcheck // temporary
	o.Folder = folder
	report, err := soaker.Play(ctx, o)
	if report == nil {
		return err
	}
	fmt.Printf("seed %d: %d breaks, %d starts, %d jobs accepted, %d shards, stalled %v, fault %v\n", o.Seed, len(report.Breaks), report.Starts, report.Accepted, report.Shards, report.Stalled.Round(time.Millisecond), err)
	faulty = faulty || err != nil
	name := fmt.Sprintf("seed-%d", o.Seed)
	if err != nil || keepAll || len(report.Breaks) > 0 {
		if err := report.Write(logs, name+".log"); err != nil {
			return err
		}
	}
	if len(report.Breaks) == 0 {
		return nil
	}
	broken = true
	trace, err := os.Create(filepath.Join(logs, name+".trace"))
	if err != nil {
		return err
	}
	defer trace.Close()
	for _, b := range report.Breaks {
		fmt.Printf("  %v at %.3f, task %s, idle %v\n    %s\n    %s\n", b.Rule, b.At.Seconds(), b.Task, b.Idle.Round(time.Millisecond), b.First, b.Second)
		report.Trace(trace, b)
	}
	return nil
}
