package labdemo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"basillift.dev/basilliftlab/labload"
)

// ErrStart means that the mesh did not become ready.
var ErrStart = eris.New("mesh did not become ready")

// Demo is one run of the demo. Its steps run one after the other in one goroutine.
type Demo struct {
	options          Options
	mesh             Mesh
	fleet            *Fleet
	client           *client
	lists            *Lists
	oracle           *Oracle
	results          *ResultLog
	progress         *labload.Progress
	load             *load
	watchers         []*Watcher
	fastPolling      *atomic.Bool
	platformRevision uint64
	// controlBytes holds the control bytes of each daemon, by VM name.
	controlBytes map[string]uint64
	evidence     evidence
}

// load runs the generator of calls concurrently with the demo's steps.
type load struct {
	generator *labload.Generator
	cancel    context.CancelFunc
	done      chan struct{}
}

func (l *load) run(ctx context.Context) {
	l.generator.Run(ctx)
	close(l.done)
}

func (l *load) stop() {
	l.cancel()
	<-l.done
}

// New returns a demo that has not started.
func New(o Options) *Demo {
	lists := NewLists(o.mesh.Services())
	resultLog := NewResultLog()
	return &Demo{
		options: o, mesh: o.mesh, client: newClient(), lists: lists,
		oracle:  NewOracle(lists, callingCustomers(), o.mesh.Services()),
		results: resultLog, progress: labload.NewProgress(-1, resultLog),
		fastPolling: &atomic.Bool{}, controlBytes: map[string]uint64{},
		evidence: evidence{convergence: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)},
	}
}

// Run runs the demo. It returns the report if all steps completed, whether or not the
// checks passed, and an error otherwise.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	if err := d.checkPrograms(); err != nil {
		return Report{}, err
	}
	folder, cleanup, err := d.makeFolder()
	if err != nil {
		return Report{}, err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.fleet = NewFleet(folder, d.options.programFolder, d.mesh)
	err = d.runSteps(ctx)
	if d.load != nil {
		d.load.stop()
	}
	if err == nil {
		err = d.collectEvidence(ctx)
	}
	err = errors.Join(err, d.fleet.checkRunning())
	d.evidence.uncleanExits = append(d.evidence.uncleanExits, d.fleet.stop()...)
	d.progress.Finish()
	if err != nil {
		return Report{}, fmt.Errorf("run demo: %w", err)
	}
	return newReport(d.evidence), nil
}

func (d *Demo) checkPrograms() error {
	for _, p := range []string{"basilliftd", "basilliftlab"} {
		if _, err := os.Stat(filepath.Join(d.options.programFolder, p)); err != nil {
			return fmt.Errorf("find programs (built by make build): %w", err)
		}
	}
	return nil
}

// makeFolder creates the folder for the files of this run. The returned function removes
// it if it is temporary.
func (d *Demo) makeFolder() (string, func(), error) {
	if d.options.runFolder != "" {
		if err := os.MkdirAll(d.options.runFolder, 0o750); err != nil {
			return "", nil, fmt.Errorf("create folder: %w", err)
		}
		return d.options.runFolder, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "basillift-demo-")
	if err != nil {
		return "", nil, fmt.Errorf("create folder: %w", err)
	}
	// The error is ignored: files left in the temporary folder do no harm.
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// step is one step of a demo or a recording. Errors and the progress line show its name.
type step struct {
	name string
	run  func(context.Context) error
}

func (d *Demo) runSteps(ctx context.Context) error {
	for _, s := range []step{
		{"start platform and targets", d.startPlatformAndTargets},
		{"start daemons", d.startDaemons},
		{"wait until keys are granted", d.awaitKeyGrants},
		{"send calls", d.startLoad},
		{"edit lists", d.editBeforeFaults},
		{"drain a target", d.drainTarget},
		{"kill a daemon", d.killDaemon},
		{"stop a daemon", d.stopDaemon},
		{"edit lists again", d.editAfterFaults},
	} {
		d.progress.Describe(s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if err := d.fleet.checkRunning(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// sleep waits for a duration. It returns the context's error if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}
