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

// ErrExited means that a process ended although nobody ended it.
var ErrExited = eris.New("process ended on its own")

// stopTime is how long a process may take to end after SIGTERM: the daemon's
// bound for calls in flight, and some time for its exit.
const stopTime = 35 * time.Second

// Process is one child process of the demo. Signals go to its process id only.
type Process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	planned bool
}

// startProcess starts a program whose output goes to a file in the folder.
func startProcess(folder, name, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", name, err)
	}
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = log, log
	// An own process group keeps Ctrl-C of the terminal away from the children;
	// the demo ends them itself, in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{name: name, command: c, log: log, ended: make(chan struct{})}
	go p.run()
	return p, nil
}

func (p *Process) run() {
	// The exit code is read from the process state; Wait's error only repeats it.
	_ = p.command.Wait()
	_ = p.log.Close()
	close(p.ended)
}

// running reports whether the process has not ended.
func (p *Process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// code is the exit code, or -1 after a signal. The process must have ended.
func (p *Process) code() int { return p.command.ProcessState.ExitCode() }

// check returns an error when the process ended unplanned.
func (p *Process) check() error {
	if p.planned || p.running() {
		return nil
	}
	return fmt.Errorf("%s, %s: %w", p.name, p.command.ProcessState, ErrExited)
}

// signal plans the end of the process and sends a signal. A process that has
// ended already is no error.
func (p *Process) signal(s syscall.Signal) error {
	p.planned = true
	err := p.command.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// wait returns whether the process ended within stopTime.
func (p *Process) wait() bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(stopTime):
		return false
	}
}
