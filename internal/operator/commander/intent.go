package commander

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// operatorsUsage describes the flag for a daemon that serves operators.
const operatorsUsage = "address of a daemon's operator port, ip:port"

// defaultOperators is the address for operators in the examples' settings.
const defaultOperators = "127.0.0.1:7002"

// plan is a daemon's response about a plan.
type plan struct {
	describer.Plan
	Confirmed bool  `json:"confirmed"`
	InForce   int64 `json:"inforce,omitempty"` // revision of the configuration that the confirmation led to
}

func newIntent() *cobra.Command {
	var daemon string
	cmd := &cobra.Command{
		Use:   "intent",
		Short: "State an intent and get its plan; nothing changes until the plan is confirmed",
	}
	cmd.PersistentFlags().StringVar(&daemon, "daemon", defaultOperators, operatorsUsage)
	cmd.PersistentFlags().String("format", "text", "text or json")
	cmd.PersistentFlags().String("id", "", "id of the intent; generated if empty")
	cmd.AddCommand(newLatencyTarget(&daemon), newRunIntent(&daemon), newDrain(&daemon), newEvacuate(&daemon), newRestore(&daemon), newCancelIntent(&daemon))
	return cmd
}

func newLatencyTarget(daemon *string) *cobra.Command {
	return &cobra.Command{
		Use:     "latency-target SERVICE TIME",
		Short:   "Keep the 99th percentile of a service's latency within a time",
		Example: "  dotterelcart intent latency-target menu-desk 250ms",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			target, err := time.ParseDuration(args[1])
			if err != nil {
				return exitUsage(err)
			}
			return sendIntent(cmd, *daemon, describer.Intent{Action: describer.SetTarget, Service: args[0], Target: target})
		},
	}
}

func newRunIntent(daemon *string) *cobra.Command {
	return &cobra.Command{
		Use:     "run JOBFILE",
		Short:   "Run a job to its end; the file holds the job, see examples/wave.hujson",
		Example: "  dotterelcart intent run precinct.hujson",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return sendIntent(cmd, *daemon, describer.Intent{Action: describer.Run, Job: &job})
		},
	}
}

func newDrain(daemon *string) *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "drain WORKER...",
		Short: "Move work off workers until a restore brings it back",
		Example: `  dotterelcart intent drain bne-w1 bne-w2
  dotterelcart intent drain bne-w1 --for 2h`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendIntent(cmd, *daemon, describer.Intent{Action: describer.DrainWorkers, Workers: args, For: duration})
		},
	}
	cmd.Flags().DurationVar(&duration, "for", 0, "restore automatically after this time; 0 waits for a restore intent")
	return cmd
}

func newEvacuate(daemon *string) *cobra.Command {
	return &cobra.Command{
		Use:     "evacuate DOMAIN",
		Short:   "Start no tasks and send no requests in a failure domain until a restore; what runs goes on",
		Example: "  dotterelcart intent evacuate seq-bne --id flood-warning",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendIntent(cmd, *daemon, describer.Intent{Action: describer.Evacuate, Domain: args[0]})
		},
	}
}

func newRestore(daemon *string) *cobra.Command {
	return &cobra.Command{
		Use:   "restore ID",
		Short: "Bring work back to the workers of a drain, or end an evacuation, by its id",
		Example: `  dotterelcart intent restore kernel-upgrade
  dotterelcart intent restore flood-warning`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendIntent(cmd, *daemon, describer.Intent{Action: describer.Restore, Drain: args[0]})
		},
	}
}

func newCancelIntent(daemon *string) *cobra.Command {
	var drain, job string
	cmd := &cobra.Command{
		Use:     "cancel",
		Short:   "Cancel a drain or a job",
		Example: "  dotterelcart intent cancel --drain kernel-upgrade",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			intent := describer.Intent{Action: describer.Cancel, Drain: drain}
			if job != "" {
				intent.Job = &describer.Job{ID: job}
			}
			return sendIntent(cmd, *daemon, intent)
		},
	}
	cmd.Flags().StringVar(&drain, "drain", "", "id of the drain")
	cmd.Flags().StringVar(&job, "job", "", "id of the job")
	cmd.MarkFlagsOneRequired("drain", "job")
	cmd.MarkFlagsMutuallyExclusive("drain", "job")
	return cmd
}

// sendIntent sends the intent and prints its plan.
func sendIntent(cmd *cobra.Command, daemon string, intent describer.Intent) error {
	id, err := cmd.Flags().GetString("id")
	if err != nil {
		return exitUsage(err)
	}
	intent.ID = id
	var response plan
	if err := send(cmd.Context(), http.MethodPost, "http://"+daemon+"/v1/intents", intent, &response); err != nil {
		return err
	}
	return output(cmd, response, printPlan)
}

func newPlan() *cobra.Command {
	return newPlanRequest("plan", "Show a plan", http.MethodGet, "")
}

func newConfirm() *cobra.Command {
	return newPlanRequest("confirm", "Confirm a plan; refused with the difference if it no longer holds", http.MethodPost, "/confirm")
}

// newPlanRequest returns a command that sends a request about one plan. action
// is the part of the path after the plan's id.
func newPlanRequest(verb, short, method, action string) *cobra.Command {
	var daemon string
	cmd := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  dotterelcart " + verb + " 6f0c0e6e-8d8c-4f6d-9a55-0d6a3a1f1b2c --format json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var response plan
			url := "http://" + daemon + "/v1/plans/" + args[0] + action
			if err := send(cmd.Context(), method, url, nil, &response); err != nil {
				return err
			}
			return output(cmd, response, printPlan)
		},
	}
	addDaemonFlag(cmd, &daemon)
	addFormatFlag(cmd)
	return cmd
}

func printPlan(w io.Writer, p plan) {
	fmt.Fprintf(w, "plan %s: %s %s, made from revision %d\n", p.ID, p.Intent.Action, p.Intent.ID, p.Revision)
	for _, step := range p.Steps {
		fmt.Fprintf(w, "  %s\n", step)
	}
	fmt.Fprintf(w, "expected: tail latency %+.1f %%, batch throughput %+.1f %%, %d evictions\n",
		100*p.Expected.Latency, 100*p.Expected.Throughput, p.Expected.Evictions)
	if !p.Confirmed {
		fmt.Fprintf(w, "nothing happens before: dotterelcart confirm %s\n", p.ID)
		return
	}
	fmt.Fprintln(w, "confirmed")
}
