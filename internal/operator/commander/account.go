package commander

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/analyzer"
)

// newAccount returns the command that accounts for CPU from logs.
func newAccount() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "account [FILE...]",
		Short: "Show from logs what the CPU of the shards was for",
		Long: `Read the logs of owners and print for each shard what its CPU was for: reserved by
long-running or finite tasks, free while work that doesn't fit waited or while none
did, used by fillers, unused while fillers waited. Without a file it reads stdin.`,
		Example: "  dotterelcart account bne-1.log bne-2.log",
		RunE: func(cmd *cobra.Command, files []string) error {
			logs, closeAll, err := openAll(cmd.InOrStdin(), files)
			if err != nil {
				return exitUsage(err)
			}
			defer closeAll()
			account, err := analyzer.Read(logs)
			if err != nil {
				return exitFailed(err)
			}
			if account.Summaries == 0 {
				return exitFailed(errors.New("the logs have no load summaries"))
			}
			return output(cmd, account, func(out io.Writer, a *analyzer.Account) { fmt.Fprint(out, a.Table()) })
		},
	}
	addFormatFlag(cmd)
	return cmd
}

// openAll returns a reader over all files, or stdin if there are none, and a function
// that closes them.
func openAll(stdin io.Reader, names []string) (io.Reader, func(), error) {
	if len(names) == 0 {
		return stdin, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // only read from
		}
	}
	readers := make([]io.Reader, 0, len(names))
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
