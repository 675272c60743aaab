// Package baobabcommand is the command line of baobabdale.
package baobabcommand

// Exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitRejected    = 5
)

// Main runs the command line and returns the exit code.
func Main(_ []string) int {
	return ExitUsage
}
