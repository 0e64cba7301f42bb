package labdemo

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
)

// Fleet is the set of processes of one demo.
type Fleet struct {
	folder    string
	programs  string
	mesh      Mesh
	processes []*Process
	daemons   map[string]*Process
}

// NewFleet returns a fleet without processes. Folder takes settings and logs;
// programs holds basilliftd and basilliftlab.
func NewFleet(folder, programs string, m Mesh) *Fleet {
	return &Fleet{folder: folder, programs: programs, mesh: m, daemons: map[string]*Process{}}
}

func (f *Fleet) start(name, program string, arguments ...string) (*Process, error) {
	p, err := startProcess(f.folder, name, filepath.Join(f.programs, program), arguments...)
	if err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	return p, nil
}

func (f *Fleet) startPlatform() error {
	_, err := f.start("platform", "basilliftlab", "platform", "--listen", f.mesh.platform(), "--operators", f.mesh.operators())
	return err
}

// startTargets starts each VM's target with its own seed.
func (f *Fleet) startTargets(seed int64) error {
	for i, v := range f.mesh.VMs() {
		_, err := f.start(v.name+"-target", "basilliftlab", "target", "--name", v.name, "--listen", v.target(),
			"--slots", strconv.Itoa(f.mesh.slots), "--connections", strconv.Itoa(f.mesh.connections),
			"--seed", strconv.FormatInt(seed+int64(i), 10))
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startDaemons() error {
	for _, v := range f.mesh.VMs() {
		if err := f.startDaemon(v); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a VM's daemon, also again after its end.
func (f *Fleet) startDaemon(v VM) error {
	path, err := writeSettings(f.folder, f.mesh, v)
	if err != nil {
		return err
	}
	p, err := f.start(v.name, "basilliftd", "--settings", path)
	if err != nil {
		return err
	}
	f.daemons[v.name] = p
	return nil
}

// check returns an error that names each process which ended on its own.
func (f *Fleet) check() error {
	errs := make([]error, 0, len(f.processes))
	for _, p := range f.processes {
		errs = append(errs, p.check())
	}
	return errors.Join(errs...)
}

// stop ends the daemons and then the rest, and returns what did not end
// cleanly. It returns after each process has ended.
func (f *Fleet) stop() []string {
	var daemons, rest []*Process
	for _, p := range f.processes {
		if f.daemons[p.name] == p {
			daemons = append(daemons, p)
			continue
		}
		rest = append(rest, p)
	}
	return append(stopAll(daemons), stopAll(rest)...)
}

func stopAll(processes []*Process) []string {
	var unclean []string
	processes = slices.DeleteFunc(processes, func(p *Process) bool { return !p.running() })
	for _, p := range processes {
		if err := p.signal(syscall.SIGTERM); err != nil {
			unclean = append(unclean, err.Error())
		}
	}
	for _, p := range processes {
		if !p.wait() {
			unclean = append(unclean, fmt.Sprintf("%s ran on for %s after SIGTERM", p.name, stopTime))
			// The wait below shows whether the kill worked.
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
			continue
		}
		if p.code() != 0 {
			unclean = append(unclean, fmt.Sprintf("%s ended with %s after SIGTERM", p.name, p.command.ProcessState))
		}
	}
	return unclean
}
