// Command dotterelcart runs the entry daemon, the tools for its operators and the
// stand-ins for the platform. Package commander describes its commands.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/commander"
	"dotterelcart.dev/dotterelcart/internal/operator/inspector"
	"dotterelcart.dev/dotterelcart/platform"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr, commander.Extension{
		Commands: []*cobra.Command{platform.NewCommand()},
		Kinds:    []inspector.Kind{platform.ConfigurationKind()},
	}))
}
