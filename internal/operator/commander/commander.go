// Package commander implements the command line: it runs the entry daemon,
// sends operators' and callers' requests to a daemon, and starts the demo, the
// load generator, the benchmarks and the stand-ins for the platform.
//
// # Exit codes
//
// A command exits with 0 on success, 1 if a daemon refused the request, a run
// violated an invariant or a checked file has errors, 2 for wrong usage or
// settings, and 3 if no daemon answered. Results go to stdout, everything else to
// stderr.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/inspector"
)

// Version is the release of the binary.
var Version = "0.1.0"

// Exit codes of the command line; see the package comment.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// Extension is what another package adds to the command line, such as that for one
// platform.
type Extension struct {
	Commands []*cobra.Command
	Kinds    []inspector.Kind // kinds of files that check reads
}

// Run executes the command line, with the extensions added, and returns its exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer, extensions ...Extension) int {
	root := newRoot(extensions...)
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		exit = &exitError{code: ExitUsage, err: err} // cobra's own errors are about wrong usage
	}
	if exit.err != nil {
		fmt.Fprintln(stderr, "dotterelcart:", exit.err)
	}
	return exit.code
}

// exitError is an error with the command's exit code. If err is nil, nothing is
// printed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

// exitFailed wraps an error for ExitFailed.
func exitFailed(err error) error { return &exitError{code: ExitFailed, err: err} }

// exitUsage wraps an error for ExitUsage.
func exitUsage(err error) error { return &exitError{code: ExitUsage, err: err} }

func newRoot(extensions ...Extension) *cobra.Command {
	kinds := []inspector.Kind{inspector.Settings(), inspector.Configuration()}
	for _, extension := range extensions {
		kinds = append(kinds, extension.Kinds...)
	}
	root := &cobra.Command{
		Use:   "dotterelcart",
		Short: "Schedules latency-critical services and batch work on shared hosts",
		Long: `Dotterelcart serves callers' requests and runs batch jobs on the same workers.
Operators state an intent, read its plan and confirm it.

Exit codes: 0 success, 1 refused, invariant broken or errors in a checked file, 2 wrong usage or
settings, 3 no daemon answered.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(), newCheck(kinds), newConfiguration(), newIntent(), newPlan(), newConfirm(),
		newJob(), newStatus(), newDemo(), newStandin(), newLoad(), newBench(), newAccount(), newVersion(),
	)
	for _, extension := range extensions {
		root.AddCommand(extension.Commands...)
	}
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  dotterelcart version",
		Args:    cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "dotterelcart", Version)
		},
	}
}
