//go:build review

// Command standin plays a small deployment around the programs of this repository: a
// store, workers, consumers and an operator on loopback addresses. It shows the faults
// that review/REPORT.md lists.
//
//	standin CASE FOLDER PROGRAM    writes FOLDER/record.txt
//
// It exits with status 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// scenario plays one case and returns what broke its rule. It returns false if the case
// couldn't run.
type scenario func(s *site, trouble bool) (broken []string, ran bool)

var scenarios = map[string]scenario{
	"ends":  manyEnds,
	"kind":  otherKind,
	"route": removedRoute,
	"late":  lateAcceptance,
	"flap":  flappingWorkers,
}

// playLimit ends a play that takes too long.
const playLimit = 110 * time.Second

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	like := desk
	if os.Args[1] == "flap" {
		like = keeps // the page that names the disruption is its own
	}
	os.Exit(play(scenarios[os.Args[1]], like, filepath.Join(os.Args[2], "record.txt"), os.Args[3]))
}

// play plays a scenario and returns the exit status.
func play(scenario scenario, like deployment, path, program string) (status int) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	s := newSite(like, seed, program)
	type outcome struct {
		broken []string
		ran    bool
	}
	outcomes := make(chan outcome, 1)
	go func() {
		broken, ran := scenario(s, os.Getenv("TROUBLE") != "0")
		outcomes <- outcome{broken, ran}
	}()
	var broken []string
	ran := false
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-outcomes:
		broken, ran = o.broken, o.ran
	case <-time.After(playLimit):
	case <-signals:
	}
	s.close()
	switch {
	case !ran:
		s.log.printf("verdict: the case couldn't run")
		status = 2
	case len(broken) > 0:
		s.log.printf("verdict: broken %d times", len(broken))
		status = 1
	default:
		s.log.printf("verdict: held")
	}
	s.log.count()
	for _, b := range broken {
		s.log.printf("broken: %s", b)
	}
	s.log.write(path)
	fmt.Printf("exit status %d, broken %d times\n", status, len(broken))
	if len(broken) > 0 {
		fmt.Println("the first:", broken[0])
	}
	return status
}
