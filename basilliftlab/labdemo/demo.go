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

// Demo is one run. Its steps run one after the other in one goroutine.
type Demo struct {
	options  Options
	mesh     Mesh
	fleet    *Fleet
	client   *client
	lists    *Lists
	oracle   *Oracle
	ledger   *Ledger
	progress *labload.Progress
	load     *load
	watchers []*Watcher
	eager    *atomic.Bool
	revision uint64
	bytes    map[string]uint64
	evidence evidence
}

// load runs the generator beside the demo's steps.
type load struct {
	generator *labload.Generator
	cancel    context.CancelFunc
	ended     chan struct{}
}

func (l *load) run(ctx context.Context) {
	l.generator.Run(ctx)
	close(l.ended)
}

func (l *load) stop() {
	l.cancel()
	<-l.ended
}

// New returns a demo that has not started.
func New(o Options) *Demo {
	lists := NewLists(o.mesh.Services())
	ledger := NewLedger()
	return &Demo{
		options: o, mesh: o.mesh, client: newClient(), lists: lists,
		oracle: NewOracle(lists, callers(), o.mesh.Services()),
		ledger: ledger, progress: labload.NewProgress(-1, ledger),
		eager: &atomic.Bool{}, bytes: map[string]uint64{},
		evidence: evidence{convergence: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)},
	}
}

// Run returns the report of a demo that ran to its end, whether the checks
// passed or not, and an error for one that did not.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	if err := d.checkPrograms(); err != nil {
		return Report{}, err
	}
	folder, remove, err := d.makeFolder()
	if err != nil {
		return Report{}, err
	}
	defer remove()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.fleet = NewFleet(folder, d.options.programs, d.mesh)
	err = d.steps(ctx)
	if d.load != nil {
		d.load.stop()
	}
	if err == nil {
		err = d.collect(ctx)
	}
	err = errors.Join(err, d.fleet.check())
	d.evidence.unclean = append(d.evidence.unclean, d.fleet.stop()...)
	d.progress.Finish()
	if err != nil {
		return Report{}, fmt.Errorf("run demo: %w", err)
	}
	return newReport(d.evidence), nil
}

func (d *Demo) checkPrograms() error {
	for _, p := range []string{"basilliftd", "basilliftlab"} {
		if _, err := os.Stat(filepath.Join(d.options.programs, p)); err != nil {
			return fmt.Errorf("find programs (make build makes them): %w", err)
		}
	}
	return nil
}

// makeFolder returns the folder of this run and what removes it.
func (d *Demo) makeFolder() (string, func(), error) {
	if d.options.folder != "" {
		if err := os.MkdirAll(d.options.folder, 0o750); err != nil {
			return "", nil, fmt.Errorf("make folder: %w", err)
		}
		return d.options.folder, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "basillift-demo-")
	if err != nil {
		return "", nil, fmt.Errorf("make folder: %w", err)
	}
	// A file that stays behind in the temporary folder does no harm.
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// step is one part of the demo's course.
type step struct {
	name string
	run  func(context.Context) error
}

func (d *Demo) steps(ctx context.Context) error {
	for _, s := range []step{
		{"start platform and targets", d.startStandIns},
		{"start daemons", d.startDaemons},
		{"wait until keys are granted", d.awaitKeys},
		{"send calls", d.startLoad},
		{"edit lists", d.editEarly},
		{"drain a target", d.drain},
		{"kill a daemon", d.killDaemon},
		{"stop a daemon", d.stopDaemon},
		{"edit lists again", d.editLate},
	} {
		d.progress.Describe(s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if err := d.fleet.check(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// sleep waits, or returns the error of a context that ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}
