package labdemo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// readyPollInterval is the interval between two readiness checks of a process.
const readyPollInterval = 50 * time.Millisecond

func (d *Demo) startPlatformAndTargets(ctx context.Context) error {
	if err := d.fleet.startPlatform(); err != nil {
		return err
	}
	if err := d.fleet.startTargets(d.options.seed); err != nil {
		return err
	}
	if err := d.awaitReady(ctx, d.mesh.operatorAddress(), "/v1/stats"); err != nil {
		return err
	}
	for _, v := range d.mesh.VMs() {
		if err := d.awaitReady(ctx, v.targetAddress(), "/health"); err != nil {
			return err
		}
	}
	return d.publishLists(ctx)
}

// publishLists publishes the initial three lists. The plans come before the customers that
// refer to them.
func (d *Demo) publishLists(ctx context.Context) error {
	vms, err := encodeVMs(d.mesh.VMs())
	if err != nil {
		return err
	}
	if err := d.client.publish(ctx, d.mesh, basillift.KeyVMs, vms); err != nil {
		return err
	}
	for _, k := range []string{basillift.KeyPlans, basillift.KeyCustomers} {
		data, err := d.lists.Encode(k)
		if err != nil {
			return err
		}
		if err := d.client.publish(ctx, d.mesh, k, data); err != nil {
			return err
		}
	}
	stats, err := d.client.platformStats(ctx, d.mesh)
	d.platformRevision = stats.Revision
	return err
}

// awaitReady waits until a GET of the path responds with status 2xx. It returns ErrStart
// after readyTimeout.
func (d *Demo) awaitReady(ctx context.Context, address, path string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := d.client.do(ctx, http.MethodGet, address, path, nil)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for %s%s: %w: %w", address, path, ErrStart, err)
		}
		if err := d.fleet.checkRunning(); err != nil {
			return err
		}
		if err := sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
}

func (d *Demo) startDaemons(ctx context.Context) error {
	if err := d.fleet.startDaemons(); err != nil {
		return err
	}
	for _, v := range d.mesh.VMs() {
		if err := d.awaitReady(ctx, v.adminAddress(), "/ready"); err != nil {
			return err
		}
	}
	for _, v := range d.mesh.VMs() {
		w := newWatcher(v, d.client, d.fastPolling)
		d.watchers = append(d.watchers, w)
		go w.loop(ctx)
	}
	return nil
}

// awaitKeyGrants waits until the daemons grant idempotency keys.
func (d *Demo) awaitKeyGrants(ctx context.Context) error { return sleep(ctx, keyGrantWait) }

func (d *Demo) startLoad(ctx context.Context) error {
	var addresses []string
	for _, v := range d.mesh.VMs() {
		addresses = append(addresses, v.callerAddress())
	}
	options := labload.NewOptions(addresses, d.mesh.Services(), callingCustomers()).
		WithRate(d.options.callsPerSecond).WithUpload(d.options.uploadBytes).WithSeed(d.options.seed)
	loadCtx, cancel := context.WithCancel(ctx)
	d.load = &load{
		generator: labload.NewGenerator(options, d.progress, time.Now()),
		cancel:    cancel, done: make(chan struct{}),
	}
	go d.load.run(loadCtx)
	return sleep(ctx, 2*settleDelay)
}
