//go:build review3

// Command standin3 plays the cases of the third review: it starts the program of the deploy file as
// separate processes, with a store, workers and callers that are stand-ins in this
// process on loopback addresses.
//
//	standin3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 in the environment it plays without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*deployment, bool) (bool, error){
	"two-owners":         twoOwners,
	"oversized-progress": oversizedProgress,
	"gang-room":          gangRoom,
	"run-numbers":        runNumbers,
	"stale-count":        staleCount,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(notPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
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
	isDisrupted := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption %t", name, isDisrupted)
	hasHeld, err := cases[name](d, isDisrupted)
	switch {
	case err != nil:
		record.printf("not played: %v", err)
		return notPlayed
	case !hasHeld:
		record.printf("result: the rule was broken")
		return broken
	}
	record.printf("result: the rule held")
	return held
}
