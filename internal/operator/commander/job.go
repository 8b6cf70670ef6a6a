package commander

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
)

// callersUsage describes the flag for a daemon that serves callers.
const callersUsage = "address of a daemon's caller port, ip:port"

// defaultCallers is the address for callers in the examples' settings.
const defaultCallers = "127.0.0.1:7000"

func newJob() *cobra.Command {
	var daemon string
	cmd := &cobra.Command{
		Use:   "job",
		Short: "Submit a batch job, show its state, cancel it",
	}
	cmd.PersistentFlags().StringVar(&daemon, "daemon", defaultCallers, callersUsage)
	cmd.PersistentFlags().String("format", "text", "text or json")
	cmd.AddCommand(newSubmit(&daemon))
	cmd.AddCommand(newJobRequest(&daemon, "status", "Show a job's state and, once done, its results", http.MethodGet))
	cmd.AddCommand(newJobRequest(&daemon, "cancel", "Cancel a job; the answer says whether it may have run", http.MethodDelete))
	return cmd
}

func newSubmit(daemon *string) *cobra.Command {
	return &cobra.Command{
		Use:   "submit JOBFILE",
		Short: "Submit the job in a file (JSON with comments), or on standard input with -; safe to repeat",
		Example: `  echo '{"id":"wave-1","team":"councils","class":"render","tasks":4,
    "declared":{"cpu":500,"memory":256,"accelerators":0},"runtime":"1s",
    "payload":{"work":"500ms"}}' | dotterelcart job submit -`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			var status reducer.JobStatus
			if err := send(cmd.Context(), http.MethodPost, "http://"+*daemon+"/v1/jobs", job, &status); err != nil {
				return err
			}
			return output(cmd, status, printJob)
		},
	}
}

// newJobRequest returns a command that sends a request about one job.
func newJobRequest(daemon *string, verb, short, method string) *cobra.Command {
	return &cobra.Command{
		Use:     verb + " JOB",
		Short:   short,
		Example: "  dotterelcart job " + verb + " wave-1 --format json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var status reducer.JobStatus
			if err := send(cmd.Context(), method, "http://"+*daemon+"/v1/jobs/"+args[0], nil, &status); err != nil {
				return err
			}
			return output(cmd, status, printJob)
		},
	}
}

func printJob(w io.Writer, s reducer.JobStatus) {
	fmt.Fprintf(w, "job %s in shard %s: %s; %d pending, %d started, %d done, %d failed\n",
		s.Job, s.Shard, s.State, s.Pending, s.Started, s.Done, s.Failed)
	if s.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", s.Reason)
	}
	for i, result := range s.Results {
		fmt.Fprintf(w, "result %d: %s\n", i, result)
	}
}
