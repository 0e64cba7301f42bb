package labdemo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltimeline"
	"basillift.dev/basilliftlab/labload"
)

// ErrScenario means that no scenario has the given name.
var ErrScenario = eris.New("unknown scenario")

// The load of a recording: few calls, so that a trace stays below 300 KB.
const (
	recordRate   = 6
	recordUpload = 2048
	recordMix    = "get=60,keyed=15,post=20,upload=5"
)

// The times of a recording.
const (
	pauseTime  = 6 * time.Second
	outageTime = 4 * time.Second
	// pollPause is the time between two readings of a timeline that is about to end.
	pollPause = 20 * time.Millisecond
)

// Scenarios returns the names of the scenarios that a Recorder knows.
func Scenarios() []string { return []string{"kill", "pause", "outage", "drain"} }

// Recorder runs a small mesh of real processes under one fault and collects the timelines.
type Recorder struct {
	demo     *Demo
	scenario string
	edits    int
	lists    [][]basillift.Event
}

// NewRecorder returns a recorder that has not started. The mesh needs a trace of all calls.
func NewRecorder(o Options, scenario string) (*Recorder, error) {
	if !slices.Contains(Scenarios(), scenario) {
		return nil, fmt.Errorf("scenario is %q, allowed are %v: %w", scenario, Scenarios(), ErrScenario)
	}
	o.mesh = o.mesh.withTrace("all")
	return &Recorder{demo: New(o), scenario: scenario}, nil
}

// Run returns the merged timeline of all daemons. All processes that it started have ended.
func (r *Recorder) Run(ctx context.Context) ([]basillift.Event, error) {
	d := r.demo
	if err := d.checkPrograms(); err != nil {
		return nil, err
	}
	folder, remove, err := d.makeFolder()
	if err != nil {
		return nil, err
	}
	defer remove()
	d.fleet = NewFleet(folder, d.options.programs, d.mesh)
	err = r.steps(ctx)
	if d.load != nil {
		d.load.stop()
	}
	if err == nil {
		err = r.collectAll(ctx)
	}
	unclean := d.fleet.stop()
	d.progress.Finish()
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.scenario, err)
	}
	for _, text := range unclean {
		err = errors.Join(err, fmt.Errorf("%s: %w", text, ErrExited))
	}
	return bltimeline.Merge(r.lists...), err
}

func (r *Recorder) steps(ctx context.Context) error {
	d := r.demo
	faults := map[string]func(context.Context) error{
		"kill": r.kill, "pause": r.pause, "outage": r.outage, "drain": r.drain,
	}
	for _, s := range []step{
		{"start platform and targets", d.startStandIns},
		{"start daemons", r.startDaemons},
		{"send calls", r.startLoad},
		{"edit", r.edit},
		{r.scenario, faults[r.scenario]},
		{"edit again", r.edit},
	} {
		d.progress.Describe(s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (r *Recorder) startDaemons(ctx context.Context) error {
	if err := r.demo.fleet.startDaemons(); err != nil {
		return err
	}
	for _, v := range r.demo.mesh.VMs() {
		if err := r.demo.await(ctx, v.admin(), "/ready"); err != nil {
			return err
		}
	}
	return nil
}

func (r *Recorder) startLoad(ctx context.Context) error {
	d := r.demo
	mix, err := labload.ParseMix(recordMix)
	if err != nil {
		return fmt.Errorf("mix of calls: %w", err)
	}
	var addresses []string
	for _, v := range d.mesh.VMs() {
		addresses = append(addresses, v.caller())
	}
	options := labload.NewOptions(addresses, d.mesh.Services(), callers()).
		WithRate(recordRate).WithMix(mix, 0.5).WithUpload(recordUpload).WithSeed(d.options.seed)
	loadCtx, cancel := context.WithCancel(ctx)
	d.load = &load{
		generator: labload.NewGenerator(options, d.progress, time.Now()),
		cancel:    cancel, ended: make(chan struct{}),
	}
	go d.load.run(loadCtx)
	return sleep(ctx, settleTime)
}

// edit changes a list and gives the mesh time to have it in force.
func (r *Recorder) edit(ctx context.Context) error {
	d := r.demo
	key := d.lists.Edit(r.edits)
	r.edits++
	data, err := d.lists.Encode(key)
	if err != nil {
		return err
	}
	if err := d.client.publish(ctx, d.mesh, key, data); err != nil {
		return err
	}
	return sleep(ctx, 2*settleTime)
}

// victim is a server of the first service; seeds are other VMs' contacts, so it is not the first.
func (r *Recorder) victim() VM { return r.demo.mesh.servers(0)[1] }

func (r *Recorder) occupy(ctx context.Context) error {
	v := r.victim()
	for range 3 {
		r.demo.load.generator.Long(ctx, v.caller(), customerFull, v.service, longWork)
	}
	return sleep(ctx, longLead)
}

func (r *Recorder) kill(ctx context.Context) error {
	v := r.victim()
	if err := errors.Join(r.occupy(ctx), r.collect(ctx, v)); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	r.demo.load.generator.Remove(v.caller())
	if !p.wait() {
		return fmt.Errorf("kill %s: %w", v.name, ErrExited)
	}
	return r.editAndRestart(ctx, v)
}

func (r *Recorder) editAndRestart(ctx context.Context, v VM) error {
	if err := errors.Join(r.edit(ctx), sleep(ctx, faultTime/2)); err != nil {
		return err
	}
	if err := r.demo.fleet.startDaemon(v); err != nil {
		return err
	}
	return r.demo.await(ctx, v.admin(), "/ready")
}

// pause stops a daemon with calls in flight, and edits a list meanwhile.
func (r *Recorder) pause(ctx context.Context) error {
	v := r.victim()
	if err := errors.Join(r.occupy(ctx), r.collect(ctx, v)); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := errors.Join(r.edit(ctx), sleep(ctx, pauseTime))
	if e := p.signal(syscall.SIGCONT); e != nil {
		return errors.Join(err, e)
	}
	return errors.Join(err, sleep(ctx, faultTime))
}

// outage makes the platform refuse all reads, and edits a list meanwhile.
func (r *Recorder) outage(ctx context.Context) error {
	if err := r.fault(ctx, `{"outage":true}`); err != nil {
		return err
	}
	if err := errors.Join(r.edit(ctx), sleep(ctx, outageTime)); err != nil {
		return err
	}
	return errors.Join(r.fault(ctx, `{}`), sleep(ctx, faultTime))
}

func (r *Recorder) fault(ctx context.Context, body string) error {
	_, err := r.demo.client.do(ctx, http.MethodPost, r.demo.mesh.operators(), "/v1/faults", []byte(body))
	return err
}

// drain ends a daemon with SIGTERM while calls are in flight, and reads its timeline until it has ended.
func (r *Recorder) drain(ctx context.Context) error {
	v := r.victim()
	if err := r.occupy(ctx); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	r.demo.load.generator.Remove(v.caller())
	for p.running() {
		// The admin address is closed before the process ends; what was read last counts.
		_ = r.collect(ctx, v)
		if err := sleep(ctx, pollPause); err != nil {
			return err
		}
	}
	return r.editAndRestart(ctx, v)
}

// collect keeps the timeline of a daemon as it is now.
func (r *Recorder) collect(ctx context.Context, v VM) error {
	events, err := r.demo.client.timeline(ctx, v)
	if err != nil {
		return err
	}
	r.lists = append(r.lists, events)
	return nil
}

func (r *Recorder) collectAll(ctx context.Context) error {
	// Events of calls that have just ended are on their way to the ring.
	errs := []error{sleep(ctx, settleTime)}
	for _, v := range r.demo.mesh.VMs() {
		errs = append(errs, r.collect(ctx, v))
	}
	return errors.Join(errs...)
}
