package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/blproxy"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/basillift/bltarget"
	"basillift.dev/basillift/bltimeline"
)

// leaveTimeout bounds the announcement to the mesh that the target is gone.
const leaveTimeout = 2 * time.Second

// daemon is the daemon that routes by plans and customers. It owns the running parts.
type daemon struct {
	settings blsettings.Settings
	log      *bllog.Logger
	timeline *bltimeline.Log
	node     *blnode.Node
	proxy    *blproxy.Proxy
	poller   *bltarget.Poller
	notices  *blnotice.Service
	admin    *bladmin.Server
	tasks    sync.WaitGroup
	failed   chan error
}

func newDaemon(s blsettings.Settings, l *bllog.Logger, timeline *bltimeline.Log, n *blnode.Node,
	p *blproxy.Proxy, poller *bltarget.Poller, notices *blnotice.Service, admin *bladmin.Server,
) *daemon {
	return &daemon{
		settings: s, log: l, timeline: timeline, node: n, proxy: p, poller: poller, notices: notices, admin: admin,
		failed: make(chan error, 4),
	}
}

// run serves until ctx ends or a part fails, and then shuts down gracefully.
func (d *daemon) run(ctx context.Context) error {
	if err := d.proxy.Listen(); err != nil {
		return fmt.Errorf("proxy: %w", errors.Join(errListen, err))
	}
	admin, err := net.Listen("tcp", d.settings.Addresses().Admin())
	if err != nil {
		return fmt.Errorf("admin: %w", errors.Join(errListen, err))
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.start(func() error { return d.node.Run(serveCtx) })
	d.start(func() error { return d.proxy.Run(serveCtx) })
	d.start(func() error { return d.admin.Run(admin) })
	d.start(func() error { d.notices.Run(serveCtx); return nil })
	d.start(func() error { d.pollWhenReady(serveCtx); return nil })
	d.log.Event(bllog.Started()).Str("domain", string(d.settings.Place().FailureDomain())).Send()
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	return errors.Join(err, d.stop(cancel))
}

// readyPollInterval is the interval between two checks whether a version is in force.
const readyPollInterval = 10 * time.Millisecond

// pollWhenReady keeps the target in the state starting until the daemon holds a version. If the target were announced
// as ready earlier, the daemon would refuse the calls sent to it.
func (d *daemon) pollWhenReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !d.node.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.poller.Run(ctx)
}

// start runs one task of the daemon in the background.
func (d *daemon) start(run func() error) {
	d.tasks.Go(func() {
		if err := run(); err != nil {
			d.failed <- err
		}
	})
}

// stop announces that the target is draining, waits for the calls in flight, leaves the mesh and ends all tasks.
func (d *daemon) stop(cancel context.CancelFunc) error {
	now := time.Now()
	d.log.Event(bllog.Stopping()).Send()
	d.timeline.Record(basillift.NewEvent(now, basillift.EventStopping))
	d.poller.Drain()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancelDrain()
	interrupted := d.proxy.Drain(drainCtx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	err := d.node.Leave(leaveCtx)
	d.timeline.Record(basillift.NewEvent(time.Now(), basillift.EventStopped).WithOutcome("", "", interrupted))
	err = errors.Join(err, d.admin.Stop())
	cancel()
	d.tasks.Wait()
	if interrupted > 0 {
		d.log.Event(bllog.StopTimedOut()).Int("calls", interrupted).Send()
		return errors.Join(err, fmt.Errorf("%d calls in flight: %w", interrupted, errInterrupted))
	}
	d.log.Event(bllog.Stopped()).Send()
	if err != nil {
		return fmt.Errorf("stop daemon: %w", err)
	}
	return nil
}
