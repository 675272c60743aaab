package baobabemulator

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Process is a program of the mesh that can be started, stopped, killed and paused. It is safe for concurrent use.
type Process struct {
	name    string
	program string
	args    []string
	logFile string // Output is appended here across restarts.

	mu   sync.Mutex
	cmd  *exec.Cmd     // Guarded by mu; nil when the process was never started.
	done chan struct{} // Guarded by mu; closed when cmd has ended.
	err  error         // Guarded by mu; how the last run ended.
}

// NewProcess returns a process that is not started.
func NewProcess(name, logFile, program string, args ...string) *Process {
	return &Process{name: name, program: program, args: args, logFile: logFile}
}

// Name returns the name of the process within the mesh.
func (p *Process) Name() string { return p.name }

// LogFile returns the path of the file with the output.
func (p *Process) LogFile() string { return p.logFile }

// Start starts the program. It fails when the program runs already.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Errorf("start %s: already running", p.name)
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The child dies with the launcher, so that an interrupted test leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go p.reap(cmd, done)
	return nil
}

// PID returns the process id, or 0 when the process does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process runs, paused or not.
func (p *Process) Running() bool { return p.PID() != 0 }

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	done := p.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
}

// Pause stops the process without ending it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop and waits for its end. It returns the error of its exit status.
func (p *Process) Terminate(ctx context.Context) error {
	done := p.signal(syscall.SIGTERM)
	if done == nil {
		return nil
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "terminate %s", p.name)
	}
}

// Restart kills the process and starts it again.
func (p *Process) Restart() error {
	p.Kill()
	return p.Start()
}

// Usage returns the processor time and the resident memory in bytes of the running process.
func (p *Process) Usage() (ProcessUsage, error) {
	pid := p.PID()
	if pid == 0 {
		return ProcessUsage{}, errors.Errorf("usage of %s: not running", p.name)
	}
	return readProcessUsage(pid)
}

// Exited returns a channel that is closed when the current run has ended, or nil when it was never started.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *Process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	if p.cmd == cmd {
		p.err = err
	}
	p.mu.Unlock()
	close(done)
}

// running requires mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal returns nil when the process does not run.
func (p *Process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	_ = p.cmd.Process.Signal(s)
	return p.done
}

// ProcessUsage is the use of resources by a process.
type ProcessUsage struct {
	processorTime time.Duration
	residentBytes int64
}

// ProcessorTime returns user and system time since the start.
func (u ProcessUsage) ProcessorTime() time.Duration { return u.processorTime }

// ResidentBytes returns the resident memory.
func (u ProcessUsage) ResidentBytes() int64 { return u.residentBytes }
