package labdemo

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrProcessEnd means that a process ended on its own, did not end in time, or ended with an
// error.
var ErrProcessEnd = eris.New("process did not end as expected")

// stopTimeout is how long a process may take to end after SIGTERM: the time that a daemon
// gives calls in flight, plus some time for its exit.
const stopTimeout = 35 * time.Second

// Process is a child process of the demo. Signals are sent to its process id only. endExpected
// is set by the first signal.
type Process struct {
	name        string
	command     *exec.Cmd
	log         *os.File
	done        chan struct{}
	endExpected bool
}

// startProcess starts a program. Its output is written to a log file in the folder.
func startProcess(folder, name, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", name, err)
	}
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = log, log
	// A separate process group keeps the terminal's Ctrl-C from reaching the children: the
	// demo stops them itself, in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{name: name, command: c, log: log, done: make(chan struct{})}
	go p.run()
	return p, nil
}

func (p *Process) run() {
	// The error is ignored, because it only repeats the exit code of the process state.
	_ = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// exitCode is the exit code, or -1 if a signal ended the process. The process must have ended.
func (p *Process) exitCode() int { return p.command.ProcessState.ExitCode() }

// checkRunning returns ErrProcessEnd if the process ended before it got a signal.
func (p *Process) checkRunning() error {
	if p.endExpected || p.running() {
		return nil
	}
	return fmt.Errorf("%s, %s: %w", p.name, p.command.ProcessState, ErrProcessEnd)
}

// signal sends a signal and marks the end of the process as expected, whichever signal it
// is. A process that has already ended is not an error.
func (p *Process) signal(s syscall.Signal) error {
	p.endExpected = true
	err := p.command.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// awaitEnd waits for the process to end and reports whether it did so within stopTimeout.
func (p *Process) awaitEnd() bool {
	select {
	case <-p.done:
		return true
	case <-time.After(stopTimeout):
		return false
	}
}
