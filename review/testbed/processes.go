package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// processList holds the processes that were started, so that none outlives the case.
type processList struct {
	mu   sync.Mutex
	list []*os.Process // Guarded by mu.
}

var processes processList

func (p *processList) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// endOnInterrupt kills all processes and exits when the case is interrupted or takes too long.
func (p *processList) endOnInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(caseTimeout):
	}
	p.mu.Lock()
	for _, process := range p.list {
		_ = process.Kill() // Has no effect on a process that has been waited for.
	}
	os.Exit(statusFailed)
}
