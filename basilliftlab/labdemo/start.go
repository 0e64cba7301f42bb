package labdemo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labload"
)

// readyPause is the pause between two readings of a readiness.
const readyPause = 50 * time.Millisecond

func (d *Demo) startStandIns(ctx context.Context) error {
	if err := d.fleet.startPlatform(); err != nil {
		return err
	}
	if err := d.fleet.startTargets(d.options.seed); err != nil {
		return err
	}
	if err := d.await(ctx, d.mesh.operators(), "/v1/stats"); err != nil {
		return err
	}
	for _, v := range d.mesh.VMs() {
		if err := d.await(ctx, v.target(), "/health"); err != nil {
			return err
		}
	}
	return d.publishFirst(ctx)
}

// publishFirst publishes the three lists. The plans come before the customers
// that hold them.
func (d *Demo) publishFirst(ctx context.Context) error {
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
	stats, err := d.client.platform(ctx, d.mesh)
	d.revision = stats.Revision
	return err
}

// await returns when an address answers with 2xx.
func (d *Demo) await(ctx context.Context, address, path string) error {
	deadline := time.Now().Add(readyTime)
	for {
		_, err := d.client.do(ctx, http.MethodGet, address, path, nil)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for %s%s: %w: %w", address, path, ErrStart, err)
		}
		if err := d.fleet.check(); err != nil {
			return err
		}
		if err := sleep(ctx, readyPause); err != nil {
			return err
		}
	}
}

func (d *Demo) startDaemons(ctx context.Context) error {
	if err := d.fleet.startDaemons(); err != nil {
		return err
	}
	for _, v := range d.mesh.VMs() {
		if err := d.await(ctx, v.admin(), "/ready"); err != nil {
			return err
		}
	}
	for _, v := range d.mesh.VMs() {
		w := newWatcher(v, d.client, d.eager)
		d.watchers = append(d.watchers, w)
		go w.loop(ctx)
	}
	return nil
}

// awaitKeys waits until daemons grant idempotency keys.
func (d *Demo) awaitKeys(ctx context.Context) error { return sleep(ctx, keyTime) }

func (d *Demo) startLoad(ctx context.Context) error {
	var addresses []string
	for _, v := range d.mesh.VMs() {
		addresses = append(addresses, v.caller())
	}
	options := labload.NewOptions(addresses, d.mesh.Services(), callers()).
		WithRate(d.options.rate).WithUpload(d.options.upload).WithSeed(d.options.seed)
	loadCtx, cancel := context.WithCancel(ctx)
	d.load = &load{
		generator: labload.NewGenerator(options, d.progress, time.Now()),
		cancel:    cancel, ended: make(chan struct{}),
	}
	go d.load.run(loadCtx)
	return sleep(ctx, 2*settleTime)
}
