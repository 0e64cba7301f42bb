package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/dig"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blfeed"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blforwarder"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/basillift/bltable"
	"basillift.dev/basillift/blwatch"
	"basillift.dev/platform"
)

// stopMargin is how much earlier than its grace ends the daemon gives up waiting for requests in flight.
const stopMargin = 700 * time.Millisecond

// settingsEvery is how often the settings file is looked at; it may change without a signal.
const settingsEvery = 5 * time.Second

// fastLink is the speed of a link, in Mbit/s, from which a daemon reads the registry for others too: a table of
// 400 KB takes 64 ms of it.
const fastLink = 50

// collectAt is the growth of the heap, in percent, at which garbage is collected. The heap of a daemon is small, so
// that more frequent collections cost little and keep its memory down.
const collectAt = 40

// routed is the daemon that routes by table: the registry tells it the table and the targets.
type routed struct {
	path     string
	settings blsettings.Settings
	log      *bllog.Logger
	tables   *bltable.Holder
	fleet    *blfleet.Fleet
	courier  *blforwarder.Forwarder
	follower *blwatch.Watcher
	// shelf is nil for a daemon that follows others.
	shelf  *blfeed.Cache
	admin  *bladmin.Server
	tasks  sync.WaitGroup
	failed chan error
}

// buildRouted makes all parts of the daemon that routes by table.
func buildRouted(path string, settings blsettings.Settings, log *bllog.Logger) (*routed, error) {
	c := dig.New()
	constructors := []any{
		func() blsettings.Settings { return settings },
		func() *bllog.Logger { return log },
		func() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) },
		bltable.NewHolder, blfleet.New, newRegistry, newCourier, newRouted,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, fmt.Errorf("wire daemon: %w", err)
		}
	}
	var built *routed
	if err := c.Invoke(func(r *routed) { built = r; r.path = path }); err != nil {
		return nil, fmt.Errorf("build daemon: %w", dig.RootCause(err))
	}
	return built, nil
}

func newRegistry(s blsettings.Settings) (basillift.Registry, error) {
	store, err := platform.NewStore(s.Platform(), s.Addresses().Mesh())
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return store, nil
}

func newCourier(s blsettings.Settings, tables *bltable.Holder, fleet *blfleet.Fleet, log *bllog.Logger, rnd *rand.Rand) *blforwarder.Forwarder {
	settings := blforwarder.NewSettings(s.Caller(), s.Addresses().Mesh(), s.Ready()).
		WithTarget(s.Target(), s.Service(), s.Place().FailureDomain()).
		WithHeaderNames(platform.HeaderNames()).
		WithRetryAllowance(s.Repeats(), s.Allowance()).
		WithLeaving(s.Leaving()).
		WithSlowLink(thinLink(s))
	return blforwarder.New(settings, tables, fleet, log, rnd)
}

func newRouted(s blsettings.Settings, l *bllog.Logger, tables *bltable.Holder, fleet *blfleet.Fleet,
	courier *blforwarder.Forwarder, registry basillift.Registry, rnd *rand.Rand,
) *routed {
	r := &routed{
		settings: s, log: l, tables: tables, fleet: fleet, courier: courier, failed: make(chan error, 3),
	}
	r.feed(registry, rand.New(rand.NewSource(rnd.Int63())))
	r.admin = bladmin.NewTableServer(r)
	return r
}

// thinLink reports whether the VM's link is thin.
func thinLink(s blsettings.Settings) bool { return s.Link() > 0 && s.Link() < fastLink }

// feed decides whether the daemon reads the registry, also for others, or follows other daemons.
func (r *routed) feed(registry basillift.Registry, rnd *rand.Rand) {
	if !thinLink(r.settings) {
		r.follower = blwatch.New(registry, r, rnd)
		r.shelf = blfeed.NewCache()
		r.shelf.SetLastAnswer(r.follower.LastAnswer)
		r.follower.SetHasFollowers(r.shelf.HasFollowers)
		r.courier.SetFeedServer(r.shelf)
		r.courier.SetRevisionGossip(r.follower)
		return
	}
	readers := blfeed.NewReaderSelector(r.settings.Addresses().Mesh())
	neighbors := func() []basillift.Neighbor { return r.fleet.Neighbors(r.settings.Place().FailureDomain()) }
	source := blfeed.NewFollowerRegistry(registry, r.courier, readers, r.tables, neighbors)
	source.OnReaderChange(r.readerChanged)
	r.follower = blwatch.New(source, r, rnd)
	r.courier.SetFeedServer(readers)
	r.courier.SetRevisionGossip(revisionFanOut{r.follower, source})
}

// revisionFanOut tells both the follower and the source what other daemons have seen.
type revisionFanOut struct {
	*blwatch.Watcher
	source *blfeed.FollowerRegistry
}

// ObserveRevision implements basillift.RevisionGossip.
func (h revisionFanOut) ObserveRevision(revision uint64) {
	h.source.ObserveRevision(revision)
	h.Watcher.ObserveRevision(revision)
}

// run serves until ctx ends or a part fails, and then stops in order.
func (r *routed) run(ctx context.Context) error {
	debug.SetGCPercent(collectAt)
	if err := r.courier.Listen(); err != nil {
		return fmt.Errorf("courier: %w", errors.Join(errListen, err))
	}
	admin, err := net.Listen("tcp", r.settings.Addresses().Admin())
	if err != nil {
		return fmt.Errorf("admin: %w", errors.Join(errListen, err))
	}
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.start(func() error { return r.courier.Run(serving) })
	r.start(func() error { return r.follower.Run(serving) })
	r.log.Event(bllog.Started()).Str("domain", string(r.settings.Place().FailureDomain())).Send()
	r.start(func() error { return r.admin.Run(admin) })
	r.start(func() error { r.loop(serving); return nil })
	select {
	case <-ctx.Done():
	case err = <-r.failed:
	}
	r.log.Event(bllog.Stopping()).Send()
	draining, done := context.WithTimeout(context.Background(), r.settings.Grace()-stopMargin)
	defer done()
	r.courier.Drain(draining)
	err = errors.Join(err, r.admin.Stop())
	// A server that was not serving yet does not know its listener and would serve on.
	_ = admin.Close()
	cancel()
	r.tasks.Wait()
	r.log.Event(bllog.Stopped()).Send()
	return err
}

// loop takes new settings on SIGHUP, or when the file has changed without a signal.
func (r *routed) loop(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		r.reload()
	}
}

// reload reads the settings again. Addresses and the target need a restart; terms hold at once.
func (r *routed) reload() {
	s, err := blsettings.Load(r.path)
	if err != nil {
		r.log.Event(bllog.SettingsRefused()).Err(err).Send()
		return
	}
	if reflect.DeepEqual(s, r.settings) {
		return
	}
	r.settings = s
	r.courier.SetRetryLimits(s.Leaving(), s.Repeats(), s.Allowance())
	r.log.Event(bllog.SettingsChanged()).Send()
}

func (r *routed) start(run func() error) {
	r.tasks.Go(func() {
		if err := run(); err != nil {
			r.failed <- err
		}
	})
}

// Ready implements bladmin.TableSource.
func (r *routed) Ready() bool { return r.courier.Ready() }

// Table implements bladmin.TableSource.
func (r *routed) Table() *bltable.Table { return r.tables.Current() }

// WriteMetrics implements bladmin.TableSource.
func (r *routed) WriteMetrics(w io.Writer) { r.courier.WriteMetrics(w) }

// ExplainRoute implements bladmin.TableSource.
func (r *routed) ExplainRoute(now time.Time, host, path string) []string {
	t := r.tables.Current()
	if t == nil {
		return []string{"table: none is in force yet; the answer is 503"}
	}
	return append(t.Explain(host, path), r.courier.ExplainTargets(now, host, path)...)
}

// readerChanged logs which daemon is followed.
func (r *routed) readerChanged(reader string, err error) {
	r.log.Event(bllog.ReaderChanged()).Str("daemon", reader).AnErr("error", err).Send()
}

// Replace implements blwatch.Handler.
func (r *routed) Replace(now time.Time, revision uint64, all []basillift.RegistryEntry) {
	var tables, endpoints []basillift.RegistryEntry
	for _, p := range all {
		if _, ok := p.RoutingSpec(); ok {
			tables = append(tables, p)
		} else {
			endpoints = append(endpoints, p)
		}
	}
	// Requests wait for the first table, and need targets then.
	r.fleet.Replace(now, endpoints)
	for _, p := range tables {
		r.adopt(p)
	}
	if r.shelf != nil {
		r.shelf.Replace(now, revision, endpoints)
	}
	r.courier.TargetsChanged(now)
}

// Apply implements blwatch.Handler.
func (r *routed) Apply(now time.Time, p basillift.RegistryEntry) {
	if !r.adopt(p) {
		taken := r.fleet.Apply(now, p)
		r.logTarget(p, taken)
		if r.shelf != nil {
			r.shelf.Apply(now, p)
		}
	}
	r.courier.TargetsChanged(now)
}

// logTarget writes what a target's entry says now.
func (r *routed) logTarget(p basillift.RegistryEntry, taken bool) {
	line := r.log.Event(bllog.TargetChanged()).Str("key", p.Key()).Uint64("revision", p.Revision()).Bool("taken", taken)
	if e, ok := p.Endpoint(); ok {
		line = line.Str("service", e.Service()).Str("address", e.Address()).Str("state", string(e.State())).
			Uint64("sequence", e.Sequence()).Time("born", e.StartedAt())
	}
	line.AnErr("unusable", p.Invalid()).Send()
}

// adopt takes a routing table and reports whether the publication was one.
func (r *routed) adopt(p basillift.RegistryEntry) bool {
	table, ok := p.RoutingSpec()
	if !ok {
		if p.Invalid() != nil {
			r.log.Event(bllog.VersionRefused()).Err(p.Invalid()).Send()
		}
		return false
	}
	adopted, err := r.tables.Adopt(table)
	switch {
	case err != nil:
		r.log.Event(bllog.VersionRefused()).Uint64("version", table.Version()).Err(err).Send()
	case adopted:
		if r.shelf != nil {
			r.shelf.Adopt(p, r.tables.Current())
		}
		r.log.Event(bllog.VersionApplied()).Uint64("version", table.Version()).Int("routes", len(table.Routes())).Send()
	}
	return true
}

// RegistryDown implements blwatch.Handler.
func (r *routed) RegistryDown(_ time.Time, err error) {
	if r.shelf != nil {
		r.shelf.SetRegistryDown(true)
	}
	r.log.Event(bllog.PlatformFailed()).Err(err).Send()
}

// RegistryRecovered implements blwatch.Handler.
func (r *routed) RegistryRecovered(now time.Time, cut bool) {
	if !cut {
		r.fleet.RegistryRecovered(now)
	}
	if r.shelf != nil {
		r.shelf.SetRegistryDown(false)
	}
	r.log.Event(bllog.PlatformReturned()).Bool("cut", cut).Send()
}
