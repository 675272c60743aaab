package baobabemulator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of processor time in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted from the field after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// ProcessUsage is the resource usage of a process.
type ProcessUsage struct {
	processorTime time.Duration
	residentBytes int64
}

// ProcessorTime returns the user and system time since the start of the process.
func (u ProcessUsage) ProcessorTime() time.Duration { return u.processorTime }

// ResidentBytes returns the resident memory in bytes.
func (u ProcessUsage) ResidentBytes() int64 { return u.residentBytes }

func readProcessUsage(pid int) (ProcessUsage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ProcessUsage{}, errors.Wrap(err, "read process usage")
	}
	// The command name may contain spaces, so the fields are counted from its closing parenthesis.
	_, rest, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= statResident {
		return ProcessUsage{}, errors.Errorf("read process usage: unexpected format of process %d", pid)
	}
	var values [3]int64
	for i, f := range []int{statUserTime, statSystemTime, statResident} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return ProcessUsage{}, errors.Wrap(err, "read process usage")
		}
	}
	return ProcessUsage{
		processorTime: time.Duration(values[0]+values[1]) * clockTick,
		residentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
