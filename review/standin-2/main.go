//go:build review2

// Command standin-2 plays one case of the second review: it starts the project's program as
// separate processes, with stand-ins for the platform, the workers and the consumers in this
// process, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
)

// outcome is the exit code of a case.
type outcome int

const (
	held   outcome = 0
	broke  outcome = 1
	failed outcome = 2
)

var cases = map[string]func(d *deployment, trouble bool) outcome{}

func main() {
	name := flag.String("case", "", "the case")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	program := flag.String("program", "target/dotterelcart", "the program under test")
	hosts := flag.Int("hosts", 3, "number of hosts")
	workers := flag.Int("workers", 8, "number of workers")
	logs := flag.String("logs", "", "folder that the hosts' logs are copied to")
	flag.Parse()
	run := cases[*name]
	r, err := newRecord(*path)
	if run == nil || err != nil {
		fmt.Println("no such case, or no record:", *name, err)
		os.Exit(int(failed))
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Println("not built:", err)
		os.Exit(int(failed))
	}
	d := newDeployment(*program, r, *hosts, *workers)
	code := run(d, *trouble)
	d.close()
	for _, h := range d.hosts {
		r.printf("host %s: %d processes ended by themselves or over their memory, at most %d MB", h.name, h.exits, h.peakMb)
		if *logs != "" {
			data, _ := os.ReadFile(h.log)
			_ = os.WriteFile(filepath.Join(*logs, h.name+".log"), data, 0o644)
		}
	}
	_ = os.RemoveAll(d.folder)
	text := [...]string{"the rule held", "the rule was broken", "the case couldn't run"}[code]
	r.printf("%s", text)
	fmt.Println(text)
	os.Exit(int(code))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
