package labdemo

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
)

// Fleet holds the processes of one demo. daemons is by VM name.
type Fleet struct {
	folder        string
	programFolder string
	mesh          Mesh
	processes     []*Process
	daemons       map[string]*Process
}

// NewFleet returns a fleet without processes. Settings and logs are written to folder;
// programFolder contains basilliftd and basilliftlab.
func NewFleet(folder, programFolder string, m Mesh) *Fleet {
	return &Fleet{folder: folder, programFolder: programFolder, mesh: m, daemons: map[string]*Process{}}
}

func (f *Fleet) start(name, program string, arguments ...string) (*Process, error) {
	p, err := startProcess(f.folder, name, filepath.Join(f.programFolder, program), arguments...)
	if err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	return p, nil
}

func (f *Fleet) startPlatform() error {
	_, err := f.start("platform", "basilliftlab", "platform", "--listen", f.mesh.platformAddress(), "--operators", f.mesh.operatorAddress())
	return err
}

// startTargets starts the targets of all VMs, each with its own seed.
func (f *Fleet) startTargets(seed int64) error {
	for i, v := range f.mesh.VMs() {
		_, err := f.start(v.name+"-target", "basilliftlab", "target", "--name", v.name, "--listen", v.targetAddress(),
			"--slots", strconv.Itoa(f.mesh.targetSlots), "--connections", strconv.Itoa(f.mesh.targetConnections),
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

// startDaemon starts or restarts a VM's daemon.
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

// checkRunning returns an error that names each process that ended on its own.
func (f *Fleet) checkRunning() error {
	errs := make([]error, 0, len(f.processes))
	for _, p := range f.processes {
		errs = append(errs, p.checkRunning())
	}
	return errors.Join(errs...)
}

// stop stops the daemons and then the other processes, and waits until all have ended. It
// returns a description of each process that did not end cleanly.
func (f *Fleet) stop() []string {
	var daemons, others []*Process
	for _, p := range f.processes {
		if f.daemons[p.name] == p {
			daemons = append(daemons, p)
			continue
		}
		others = append(others, p)
	}
	return append(stopAll(daemons), stopAll(others)...)
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
		if !p.awaitEnd() {
			unclean = append(unclean, fmt.Sprintf("%s was still running %s after SIGTERM", p.name, stopTimeout))
			// The error is ignored: the wait below returns only if the kill worked.
			_ = p.signal(syscall.SIGKILL)
			<-p.done
			continue
		}
		if p.exitCode() != 0 {
			unclean = append(unclean, fmt.Sprintf("%s ended with %s after SIGTERM", p.name, p.command.ProcessState))
		}
	}
	return unclean
}
