package rehearser_test

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"dotterelcart.dev/dotterelcart/internal/operator/commander"
	"dotterelcart.dev/dotterelcart/internal/operator/rehearser"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		rehearser.BinaryName: func() {
			os.Exit(commander.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start many processes")
	}
	testscript.Run(t, rehearser.Params("testdata"))
}
