// Command baobabmesh starts a small mesh on loopback with an emulated platform and emulated upstreams. The platform and
// upstream subcommands serve one of these alone.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments holds the subcommands, exactly one of which must be given.
type arguments struct {
	Demo     *demoCmd     `arg:"subcommand:demo" help:"start a mesh, accept a configuration, send a request, stop"`
	Run      *runCmd      `arg:"subcommand:run" help:"start a mesh and keep it until interrupted"`
	Platform *platformCmd `arg:"subcommand:platform" help:"serve an emulated platform"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"serve an emulated upstream"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Starts a small mesh on loopback with an emulated platform and emulated upstreams."
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case a.Demo != nil:
		err = a.Demo.run(ctx)
	case a.Run != nil:
		err = a.Run.run(ctx)
	case a.Platform != nil:
		err = a.Platform.run(ctx)
	case a.Upstream != nil:
		err = a.Upstream.run(ctx)
	default:
		p.Fail("a command is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabmesh:", err)
		os.Exit(1)
	}
}
