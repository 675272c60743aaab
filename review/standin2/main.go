// Command standin2 plays the cases of the second review against processes of the node, with stand-ins of the platform's
// store, of backends and of clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A scenario plays a case and reports whether the rule was broken.
type scenario func(d *recordedCase) (broken bool, err error)

// A recordedCase is what a scenario gets.
type recordedCase struct {
	rec     *record
	trouble bool        // The disruption takes place.
	losing  atomic.Bool // Answers are being lost.
}

var scenarios = map[string]scenario{
	"late-heartbeat":    lateHeartbeat,
	"lost-answers":      lostAnswers,
	"targets":           closeTargets,
	"crasher":           crasher,
	"foreign-heartbeat": foreignHeartbeat,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := scenarios[arguments[0]](&recordedCase{rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
