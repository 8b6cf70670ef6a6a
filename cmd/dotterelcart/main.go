// Command dotterelcart runs the entry daemon, its operators' tools and the
// stand-ins for the platform.
package main

import (
	"context"
	"os"

	"dotterelcart.dev/dotterelcart/internal/operator/commander"
	"dotterelcart.dev/dotterelcart/platform"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr, platform.NewCommand()))
}
