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

// ErrScenario means that there is no scenario with the given name.
var ErrScenario = eris.New("unknown scenario")

// The load of a recording. It is low, so that a trace stays below 300 KB.
const (
	recordCallsPerSecond = 6
	recordUploadBytes    = 2048
	recordMix            = "get=60,keyed=15,post=20,upload=5"
)

const (
	pauseDuration  = 6 * time.Second
	outageDuration = 4 * time.Second
	// timelinePollInterval is the interval at which the timeline of a stopping daemon is read.
	timelinePollInterval = 20 * time.Millisecond
)

// Scenarios returns the names of all scenarios.
func Scenarios() []string { return []string{"kill", "pause", "outage", "drain"} }

// Recorder runs a mesh of real processes, causes the fault of one scenario and collects the
// timelines of the daemons.
type Recorder struct {
	demo      *Demo
	scenario  string
	editCount int
	timelines [][]basillift.Event
}

// NewRecorder returns a recorder that has not started. It makes the daemons trace all calls.
// An unknown scenario returns ErrScenario.
func NewRecorder(o Options, scenario string) (*Recorder, error) {
	if !slices.Contains(Scenarios(), scenario) {
		return nil, fmt.Errorf("scenario is %q, must be one of %v: %w", scenario, Scenarios(), ErrScenario)
	}
	o.mesh = o.mesh.withTraceMode("all")
	return &Recorder{demo: New(o), scenario: scenario}, nil
}

// Run runs the scenario and returns the merged timeline of all daemons. When it returns, all
// processes that it started have ended.
func (r *Recorder) Run(ctx context.Context) ([]basillift.Event, error) {
	d := r.demo
	if err := d.checkPrograms(); err != nil {
		return nil, err
	}
	folder, cleanup, err := d.makeFolder()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	d.fleet = NewFleet(folder, d.options.programFolder, d.mesh)
	err = r.runSteps(ctx)
	if d.load != nil {
		d.load.stop()
	}
	if err == nil {
		err = r.collectTimelines(ctx)
	}
	unclean := d.fleet.stop()
	d.progress.Finish()
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.scenario, err)
	}
	for _, text := range unclean {
		err = errors.Join(err, fmt.Errorf("%s: %w", text, ErrProcessEnd))
	}
	return bltimeline.Merge(r.timelines...), err
}

func (r *Recorder) runSteps(ctx context.Context) error {
	d := r.demo
	faults := map[string]func(context.Context) error{
		"kill": r.kill, "pause": r.pause, "outage": r.outage, "drain": r.drain,
	}
	for _, s := range []step{
		{"start platform and targets", d.startPlatformAndTargets},
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
		if err := r.demo.awaitReady(ctx, v.adminAddress(), "/ready"); err != nil {
			return err
		}
	}
	return nil
}

func (r *Recorder) startLoad(ctx context.Context) error {
	d := r.demo
	mix, err := labload.ParseMix(recordMix)
	if err != nil {
		return fmt.Errorf("parse mix of calls: %w", err)
	}
	var addresses []string
	for _, v := range d.mesh.VMs() {
		addresses = append(addresses, v.callerAddress())
	}
	options := labload.NewOptions(addresses, d.mesh.Services(), callingCustomers()).
		WithRate(recordCallsPerSecond).WithMix(mix, 0.5).WithUpload(recordUploadBytes).WithSeed(d.options.seed)
	loadCtx, cancel := context.WithCancel(ctx)
	d.load = &load{
		generator: labload.NewGenerator(options, d.progress, time.Now()),
		cancel:    cancel, done: make(chan struct{}),
	}
	go d.load.run(loadCtx)
	return sleep(ctx, settleDelay)
}

// edit publishes the next edit of a list and gives the mesh time to apply it.
func (r *Recorder) edit(ctx context.Context) error {
	d := r.demo
	key := d.lists.ApplyEdit(r.editCount)
	r.editCount++
	data, err := d.lists.Encode(key)
	if err != nil {
		return err
	}
	if err := d.client.publish(ctx, d.mesh, key, data); err != nil {
		return err
	}
	return sleep(ctx, 2*settleDelay)
}

// faultedVM returns the VM on which the scenario's fault occurs: a server of the first
// service, but not its first one, because that is a seed of other VMs.
func (r *Recorder) faultedVM() VM { return r.demo.mesh.serviceVMs(0)[1] }

func (r *Recorder) startLongCalls(ctx context.Context) error {
	v := r.faultedVM()
	for range 3 {
		r.demo.load.generator.SendLong(ctx, v.callerAddress(), customerFull, v.service, longCallWork)
	}
	return sleep(ctx, longCallLead)
}

func (r *Recorder) kill(ctx context.Context) error {
	v := r.faultedVM()
	if err := errors.Join(r.startLongCalls(ctx), r.collectTimeline(ctx, v)); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	r.demo.load.generator.Remove(v.callerAddress())
	if !p.awaitEnd() {
		return fmt.Errorf("kill %s: %w", v.name, ErrProcessEnd)
	}
	return r.editAndRestart(ctx, v)
}

func (r *Recorder) editAndRestart(ctx context.Context, v VM) error {
	if err := errors.Join(r.edit(ctx), sleep(ctx, faultDetectionWait/2)); err != nil {
		return err
	}
	if err := r.demo.fleet.startDaemon(v); err != nil {
		return err
	}
	return r.demo.awaitReady(ctx, v.adminAddress(), "/ready")
}

// pause suspends a daemon with SIGSTOP while calls are in flight, edits a list and resumes
// it with SIGCONT.
func (r *Recorder) pause(ctx context.Context) error {
	v := r.faultedVM()
	if err := errors.Join(r.startLongCalls(ctx), r.collectTimeline(ctx, v)); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := errors.Join(r.edit(ctx), sleep(ctx, pauseDuration))
	if e := p.signal(syscall.SIGCONT); e != nil {
		return errors.Join(err, e)
	}
	return errors.Join(err, sleep(ctx, faultDetectionWait))
}

// outage makes the platform refuse all reads for a while, and edits a list during that time.
func (r *Recorder) outage(ctx context.Context) error {
	if err := r.setPlatformFaults(ctx, `{"outage":true}`); err != nil {
		return err
	}
	if err := errors.Join(r.edit(ctx), sleep(ctx, outageDuration)); err != nil {
		return err
	}
	return errors.Join(r.setPlatformFaults(ctx, `{}`), sleep(ctx, faultDetectionWait))
}

func (r *Recorder) setPlatformFaults(ctx context.Context, body string) error {
	_, err := r.demo.client.do(ctx, http.MethodPost, r.demo.mesh.operatorAddress(), "/v1/faults", []byte(body))
	return err
}

// drain stops a daemon with SIGTERM while calls are in flight, and reads its timeline until
// it has ended.
func (r *Recorder) drain(ctx context.Context) error {
	v := r.faultedVM()
	if err := r.startLongCalls(ctx); err != nil {
		return err
	}
	p := r.demo.fleet.daemons[v.name]
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	r.demo.load.generator.Remove(v.callerAddress())
	for p.running() {
		// The error is ignored: the daemon closes its admin address before the process ends,
		// and the timeline that was read last is used.
		_ = r.collectTimeline(ctx, v)
		if err := sleep(ctx, timelinePollInterval); err != nil {
			return err
		}
	}
	return r.editAndRestart(ctx, v)
}

// collectTimeline reads and stores the current timeline of a daemon.
func (r *Recorder) collectTimeline(ctx context.Context, v VM) error {
	events, err := r.demo.client.timeline(ctx, v)
	if err != nil {
		return err
	}
	r.timelines = append(r.timelines, events)
	return nil
}

func (r *Recorder) collectTimelines(ctx context.Context) error {
	// Events of calls that have just ended may not be in the daemon's ring buffer yet.
	errs := []error{sleep(ctx, settleDelay)}
	for _, v := range r.demo.mesh.VMs() {
		errs = append(errs, r.collectTimeline(ctx, v))
	}
	return errors.Join(errs...)
}
