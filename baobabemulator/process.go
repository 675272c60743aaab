package baobabemulator

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// A Process is an operating system process of the mesh that can be started, stopped, killed and paused. It is safe for
// concurrent use.
type Process struct {
	name    string
	program string
	args    []string
	logFile string // Receives the output; appended to across restarts.

	mu   sync.Mutex
	cmd  *exec.Cmd     // Guarded by mu; nil if the process was never started.
	done chan struct{} // Guarded by mu; closed when cmd has ended.
	err  error         // Guarded by mu; exit error of the last run.
}

// NewProcess returns a process that is not started.
func NewProcess(name, logFile, program string, args ...string) *Process {
	return &Process{name: name, program: program, args: args, logFile: logFile}
}

// Name returns the name of the process within the mesh.
func (p *Process) Name() string { return p.name }

// LogFile returns the path of the file that receives the output.
func (p *Process) LogFile() string { return p.logFile }

// Start starts the process. It fails if the process is already running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return errors.Errorf("start %s: already running", p.name)
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the child when its parent exits, so an interrupted test leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go p.reap(cmd, done)
	return nil
}

// PID returns the process id, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process is running or paused.
func (p *Process) Running() bool { return p.PID() != 0 }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	done := p.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
}

// Pause suspends the process.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits until the process has ended. It returns an error if the exit status is not 0.
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

// Usage returns the processor time and the resident memory of the running process.
func (p *Process) Usage() (ProcessUsage, error) {
	pid := p.PID()
	if pid == 0 {
		return ProcessUsage{}, errors.Errorf("usage of %s: not running", p.name)
	}
	return readProcessUsage(pid)
}

// Exited returns a channel that is closed when the current run has ended, or nil if the process was never started.
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

// isRunning is Running for a caller that holds mu.
func (p *Process) isRunning() bool {
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

// signal sends a signal and returns the channel that is closed when the process has ended. It returns nil if the process
// is not running.
func (p *Process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return nil
	}
	_ = p.cmd.Process.Signal(s)
	return p.done
}
