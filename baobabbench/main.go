// Command baobabbench runs an experiment with real processes on loopback and writes its results to a folder.
//
// Each experiment is a subcommand struct in a file of its own; it implements experiment and is a field of arguments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
)

// An experiment is a subcommand that takes measurements and adds them to the report of the bench.
type experiment interface {
	run(ctx context.Context, b *bench) error
}

// arguments are the command line: the options that all experiments share, and one subcommand per experiment.
type arguments struct {
	Results string `arg:"--results" default:"results" help:"folder for results"`
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of arrivals and of the stand-ins"`
	Before  string `arg:"--before" placeholder:"FOLDER" help:"working tree of another revision to compare with, where the experiment can"`
	Keep    bool   `arg:"--keep" help:"keep the logs of the processes"`

	Control     *controlCmd     `arg:"subcommand:control" help:"cost of the control plane by number of nodes"`
	Convergence *convergenceCmd `arg:"subcommand:convergence" help:"time from accept to in force at every node"`
	Flood       *floodCmd       `arg:"subcommand:flood" help:"service by rank and caller while one rank arrives far beyond capacity"`
	Herd        *herdCmd        `arg:"subcommand:herd" help:"nodes killed and started in the same moment"`
	Latency     *latencyCmd     `arg:"subcommand:latency" help:"latency that the mesh adds to a call, and its processor time"`
	Loss        *lossCmd        `arg:"subcommand:loss" help:"what callers get while VMs, a failure domain or the platform are lost"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs an experiment with real processes on loopback and writes its results to a folder."
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	e, ok := p.Subcommand().(experiment)
	if !ok {
		p.Fail("an experiment is required")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b, err := newBench(p.SubcommandNames()[0], strings.Join(os.Args[1:], " "), a)
	if err == nil {
		err = b.runExperiment(ctx, e)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabbench:", err)
		os.Exit(1)
	}
}
