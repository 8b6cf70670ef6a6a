//go:build review3

// Command standin3 plays the cases of the third review: it starts the program of the deploy file as
// separate processes, with a store, workers and callers that are stand-ins in this process on loopback
// addresses.
//
//	standin3 -case two-owners -trouble=true -record FILE
//
// It writes the record and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run. With -trouble=false it plays the same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// playLimit is the longest time that a case may take.
const playLimit = 115 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*deployment, bool) (bool, error){
	"two-owners":         twoOwners,
	"oversized-progress": oversizedProgress,
	"gang-room":          gangRoom,
	"run-numbers":        runNumbers,
	"stale-count":        staleCount,
}

func main() {
	name := flag.String("case", "", "name of the case")
	isDisrupted := flag.Bool("trouble", true, "whether the disruption is made")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	if cases[*name] == nil || *path == "" {
		flag.Usage()
		os.Exit(notPlayed)
	}
	os.Exit(play(*name, *path, *isDisrupted))
}

// errStopped is why a case ends before its time.
var errStopped = errors.New("stopped by a signal, or the time limit has passed")

// outcome is how a case has ended.
type outcome struct {
	hasHeld bool
	err     error
}

// play plays a case and returns the exit code.
func play(name, path string, isDisrupted bool) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer record.close()
	temporary, err := os.MkdirTemp("", "review3-")
	if err != nil {
		record.printf("not played: %v", err)
		return notPlayed
	}
	defer os.RemoveAll(temporary) //nolint:errcheck // a temporary folder
	d := &deployment{record: record, folder: temporary, jobs: make(map[string]*job)}
	defer d.close()
	record.printf("case %s, disruption: %t", name, isDisrupted)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan outcome, 1)
	go func() {
		hasHeld, err := cases[name](d, isDisrupted)
		ended <- outcome{hasHeld, err}
	}()
	o := outcome{err: errStopped}
	select {
	case o = <-ended:
	case <-signals:
	case <-time.After(playLimit):
	}
	switch {
	case o.err != nil:
		record.printf("not played: %v", o.err)
		return notPlayed
	case !o.hasHeld:
		record.printf("result: the rule was broken")
		return broken
	}
	record.printf("result: the rule held")
	return held
}
