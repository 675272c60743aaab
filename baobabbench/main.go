// Command baobabbench runs an experiment with real processes on loopback and writes its results to a folder.
//
// An experiment is a command struct with a method run in a file of its own, listed in arguments.
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

// An experiment measures and fills the report.
type experiment interface {
	run(ctx context.Context, b *bench) error
}

// arguments are the options of all experiments, and the experiments.
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
		err = b.measure(ctx, e)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabbench:", err)
		os.Exit(1)
	}
}
