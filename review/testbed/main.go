package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"config": runConfigCase, "quota": runQuotaCase, "watchers": runWatchersCase, "path": runPathCase, "crash": runCrashCase, "popular": runPopularCase, "coordinator": runCoordinatorCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: testbed CASE FOLDER, in the root of the repository")
		os.Exit(statusFailed)
	}
	go processes.endOnInterrupt()
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit status. The record of what happens goes to a folder.
func runCase(c func(*record, bool) (bool, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("trouble: %t", trouble)
	broken, err := c(r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return statusFailed
	case broken:
		r.say("the rule was broken")
		return statusBroken
	default:
		r.say("the rule held")
		return statusHeld
	}
}
