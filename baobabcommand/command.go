// Package baobabcommand implements the command line of baobabdale.
package baobabcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitRejected    = 5
)

// Main runs the command line and returns the exit code. SIGINT and SIGTERM stop the command gracefully.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: os.Stdout, err: os.Stderr, getenv: os.Getenv, readFile: os.ReadFile, runNode: RunNode}
	return a.main(ctx, args)
}
