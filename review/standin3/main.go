// Command standin3 runs one case of the third review: it starts nodes with the command of the deploy file as separate
// processes, plays the platform's store, the upstreams and the callers itself, and checks one rule. It exits with 1 if
// the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the function of each case by its name. The argument trouble is false if the case runs without its disruption.
var cases = map[string]func(b *bed, trouble bool) (verdict, error){
	"coordinator": runCoordinator,
	"heartbeat":   runHeartbeat,
	"lastkey":     runLastKey,
	"tenant":      runTenant,
	"forgotten":   runForgotten,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/baobabdale", "program of the deploy file")
	template := flag.String("template", "deploy/node.ini", "template of the settings")
	logs := flag.String("logs", "", "directory for the logs of the nodes; empty: a temporary one that is removed")
	flag.Parse()
	os.Exit(run(*name, *trouble, *record, bedPaths{program: *program, template: *template, logs: *logs}))
}

func run(name string, trouble bool, record string, paths bedPaths) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitUnable
	}
	b, err := newBed(record, paths)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer b.close()
	v, err := f(b, trouble)
	if err != nil {
		b.record.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	b.record.write("broken=%t %s", v.broken, v.text)
	fmt.Printf("broken=%t %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
