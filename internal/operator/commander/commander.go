// Package commander is the command line.
//
// # Exit codes
//
// A command ends with 0 on success, 1 when the request was refused or a run
// broke an invariant, 2 for wrong usage or settings, and 3 when no daemon
// answered. Results go to stdout, everything else to stderr.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Version is the release that the binary was built from.
var Version = "0.1.0"

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// Run executes the command line and returns its exit code. More are commands
// of other packages, such as those that run on one platform.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer, more ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(more...)
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
		exit = &exitError{code: ExitUsage, err: err} // cobra's own errors are about usage
	}
	if exit.err != nil {
		fmt.Fprintln(stderr, "dotterelcart:", exit.err)
	}
	return exit.code
}

// exitError ends the command with a code; a nil err prints nothing.
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

func failed(err error) error { return &exitError{code: ExitFailed, err: err} }

func misused(err error) error { return &exitError{code: ExitUsage, err: err} }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "dotterelcart",
		Short: "Schedules latency-critical services and batch work on shared hosts",
		Long: `Dotterelcart serves callers' requests and runs batch jobs on the same workers.
Operators state an intent, read its plan and confirm it.

Exit codes: 0 success, 1 refused or invariant broken, 2 wrong usage or
settings, 3 no daemon answered.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(), newCheck(), newConfiguration(), newIntent(), newPlan(), newConfirm(),
		newJob(), newStatus(), newDemo(), newStandin(), newLoad(), newBench(), newVersion(),
	)
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
