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

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/dig"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfeed"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blforwarder"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/basillift/bltable"
	"basillift.dev/basillift/blwatch"
	"basillift.dev/platform"
)

// shutdownMargin is how long before the end of the grace period the daemon stops waiting for requests in flight.
const shutdownMargin = 700 * time.Millisecond

// settingsPollInterval is how often the settings file is checked, since it may change without a signal.
const settingsPollInterval = 5 * time.Second

// minReaderLinkMbps is the minimum link speed in Mbit/s of a reader, which reads the registry and serves other daemons.
// A daemon with a slower link is a follower. Transferring a table of 400 KB takes 64 ms at this speed.
const minReaderLinkMbps = 50

// gcPercent is the heap growth in percent that triggers a garbage collection. The heap of a daemon is small, so more
// frequent collections cost little CPU time and reduce its memory use.
const gcPercent = 40

// tableDaemon is the daemon that routes by the routing table. It gets the table and the targets from the registry.
type tableDaemon struct {
	settingsPath string
	settings     blsettings.Settings
	limits       blbudget.Limits
	log          *bllog.Logger
	tables       *bltable.Holder
	fleet        *blfleet.Fleet
	forwarder    *blforwarder.Forwarder
	watcher      *blwatch.Watcher
	// revision is that of the last complete listing. Only the watcher's goroutine uses it.
	revision    basillift.Revision
	evacuations evacuationLog
	// servicesMutex guards the order in which services reach the fleet.
	servicesMutex sync.Mutex
	// cache and fallback are nil for a follower.
	cache    *blfeed.Cache
	fallback *feedFallback
	admin    *bladmin.Server
	// metrics holds the daemon's own metrics, beside those of the forwarder.
	metrics     *metrics.Set
	failedWaits *metrics.Counter
	tasks       sync.WaitGroup
	failed      chan error
}

// buildTableDaemon builds the daemon that routes by the routing table, with all its parts.
func buildTableDaemon(path string, settings blsettings.Settings, limits blbudget.Limits, log *bllog.Logger) (*tableDaemon, error) {
	c := dig.New()
	constructors := []any{
		func() blsettings.Settings { return settings },
		func() blbudget.Limits { return limits },
		func() *bllog.Logger { return log },
		func() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) },
		bltable.NewHolder, blfleet.New, newRegistry, newForwarder, newTableDaemon,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, fmt.Errorf("wire daemon: %w", err)
		}
	}
	var built *tableDaemon
	if err := c.Invoke(func(d *tableDaemon) { built = d; d.settingsPath = path }); err != nil {
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

func newForwarder(s blsettings.Settings, limits blbudget.Limits, tables *bltable.Holder, fleet *blfleet.Fleet, log *bllog.Logger, rnd *rand.Rand) *blforwarder.Forwarder {
	settings := blforwarder.NewSettings(s.Caller(), s.Addresses().Mesh(), s.ReadyAddress()).
		WithTarget(s.Target(), s.Service(), s.Place().FailureDomain()).
		WithHeaderNames(platform.HeaderNames()).
		WithRetryAllowance(s.RetryShare(), s.RetryAllowance()).
		WithDrainPeriod(s.LeavingPeriod()).
		WithSlowLink(hasSlowLink(s)).
		WithLimits(limits)
	return blforwarder.New(settings, tables, fleet, log, rnd)
}

func newTableDaemon(s blsettings.Settings, limits blbudget.Limits, l *bllog.Logger, tables *bltable.Holder, fleet *blfleet.Fleet,
	forwarder *blforwarder.Forwarder, registry basillift.Registry, rnd *rand.Rand,
) *tableDaemon {
	d := &tableDaemon{
		settings: s, limits: limits, log: l, tables: tables, fleet: fleet, forwarder: forwarder, failed: make(chan error, 3),
	}
	d.setUpRegistry(registry, rand.New(rand.NewSource(rnd.Int63())))
	d.setUpMetrics()
	d.admin = bladmin.NewTableServer(d)
	return d
}

// hasSlowLink reports whether the link of the VM is slow. A speed of 0 means that the link is fast or its speed
// unknown.
func hasSlowLink(s blsettings.Settings) bool {
	return s.LinkMbitPerSecond() > 0 && s.LinkMbitPerSecond() < minReaderLinkMbps
}

func (d *tableDaemon) setUpMetrics() {
	d.metrics = metrics.NewSet()
	d.metrics.NewGauge("basillift_registry_answer_age_seconds", func() float64 { return time.Since(d.watcher.LastAnswer()).Seconds() })
	d.failedWaits = d.metrics.NewCounter("basillift_registry_waits_failed_total")
}

// setUpRegistry makes the daemon a reader of the registry, which serves other daemons, or a follower of readers.
func (d *tableDaemon) setUpRegistry(registry basillift.Registry, rnd *rand.Rand) {
	if !hasSlowLink(d.settings) {
		d.watcher = blwatch.New(registry, d, rnd)
		d.cache = blfeed.NewCache()
		d.cache.SetLastAnswer(d.watcher.LastAnswer)
		d.watcher.SetHasFollowers(d.cache.HasFollowers)
		d.forwarder.SetFeedServer(d.cache)
		d.fallback = newFeedFallback(d, d.forwarder, rnd.Int63())
		d.forwarder.SetRevisionGossip(revisionFanOut{d.watcher, d.fallback.registry})
		return
	}
	readers := blfeed.NewReaderSelector(d.settings.Addresses().Mesh())
	followerRegistry := blfeed.NewFollowerRegistry(registry, d.forwarder, readers, d.tables, d.neighbors)
	followerRegistry.OnReaderChange(d.logReaderChange)
	d.watcher = blwatch.New(followerRegistry, d, rnd)
	d.forwarder.SetFeedServer(readers)
	d.forwarder.SetRevisionGossip(revisionFanOut{d.watcher, followerRegistry})
}

// neighbors returns the daemons that may be asked for the feed.
func (d *tableDaemon) neighbors() []basillift.Neighbor {
	return d.fleet.Neighbors(d.settings.Place().FailureDomain())
}

// revisionFanOut passes the revisions that other daemons have seen to both the watcher and the follower registry.
type revisionFanOut struct {
	*blwatch.Watcher
	registry *blfeed.FollowerRegistry
}

// ObserveRevision implements basillift.RevisionGossip.
func (f revisionFanOut) ObserveRevision(revision basillift.Revision) {
	f.registry.ObserveRevision(revision)
	f.Watcher.ObserveRevision(revision)
}

// run serves until ctx ends or a part fails, and then shuts down gracefully.
func (d *tableDaemon) run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(d.limits.HeapBytes())
	if err := d.forwarder.Listen(); err != nil {
		return fmt.Errorf("forwarder: %w", errors.Join(errListen, err))
	}
	admin, err := net.Listen("tcp", d.settings.Addresses().Admin())
	if err != nil {
		return fmt.Errorf("admin: %w", errors.Join(errListen, err))
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.start(func() error { return d.forwarder.Run(serveCtx) })
	d.start(func() error { return d.watcher.Run(serveCtx) })
	d.log.Event(bllog.Started()).Str("domain", string(d.settings.Place().FailureDomain())).
		Int64("peer_memory_bytes", d.limits.PeerBytes()).Int("connections", d.limits.Connections()).Send()
	d.start(func() error { return d.admin.Run(admin) })
	d.start(func() error { d.watchSettings(serveCtx); return nil })
	select {
	case <-ctx.Done():
	case err = <-d.failed:
	}
	d.log.Event(bllog.Stopping()).Send()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), d.settings.GracePeriod()-shutdownMargin)
	defer cancelDrain()
	d.forwarder.Drain(drainCtx)
	err = errors.Join(err, d.admin.Stop())
	// If Run has not begun to serve, Stop does not know the listener yet, and Run would go on serving.
	_ = admin.Close()
	cancel()
	d.tasks.Wait()
	d.fallback.stop()
	d.log.Event(bllog.Stopped()).Send()
	return err
}

// watchSettings reloads the settings on SIGHUP, or when the file has changed without a signal.
func (d *tableDaemon) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		d.reload()
	}
}

// reload reads the settings again. Addresses and the target need a restart; the retry limits take effect at once.
func (d *tableDaemon) reload() {
	s, err := blsettings.Load(d.settingsPath)
	if err != nil {
		d.log.Event(bllog.SettingsRefused()).Err(err).Send()
		return
	}
	if reflect.DeepEqual(s, d.settings) {
		return
	}
	d.settings = s
	d.forwarder.SetLimits(s.LeavingPeriod(), s.RetryShare(), s.RetryAllowance())
	d.log.Event(bllog.SettingsChanged()).Send()
}

func (d *tableDaemon) start(run func() error) {
	d.tasks.Go(func() {
		if err := run(); err != nil {
			d.failed <- err
		}
	})
}

// Ready implements bladmin.TableSource.
func (d *tableDaemon) Ready() bool { return d.forwarder.Ready() }

// Table implements bladmin.TableSource.
func (d *tableDaemon) Table() *bltable.Table { return d.tables.Current() }

// WriteMetrics implements bladmin.TableSource.
func (d *tableDaemon) WriteMetrics(w io.Writer) {
	d.forwarder.WriteMetrics(w)
	d.metrics.WritePrometheus(w)
}

// ExplainRoute implements bladmin.TableSource.
func (d *tableDaemon) ExplainRoute(now time.Time, q blexplain.Query) blexplain.Explanation {
	return d.forwarder.Explain(now, q)
}

// logReaderChange logs which reader is followed, and why none is.
func (d *tableDaemon) logReaderChange(reader string, err error) {
	d.log.Event(bllog.ReaderChanged()).Str("daemon", reader).AnErr("error", err).Send()
}

// Replace implements blwatch.Handler.
func (d *tableDaemon) Replace(now time.Time, revision basillift.Revision, all []basillift.RegistryEntry) {
	var tables, endpoints []basillift.RegistryEntry
	for _, entry := range all {
		if _, ok := entry.RoutingSpec(); ok {
			tables = append(tables, entry)
		} else {
			endpoints = append(endpoints, entry)
			d.logUnreadableEvacuation(entry)
		}
	}
	d.log.Event(bllog.PlatformListed()).Uint64("era", revision.Era()).Uint64("revision", revision.Number()).Int("tables", len(tables)).Int("targets", len(endpoints)).Send()
	if known := d.revision; known > 0 && revision.Era() > known.Era() {
		d.log.Event(bllog.PlatformRestored()).Stringer("before", known).Stringer("after", revision).Send()
	}
	d.revision = revision
	// The targets come before the tables: the first table releases the waiting requests, which need targets.
	current := d.fleet.Replace(now, revision, endpoints)
	d.logEvacuations()
	if d.cache != nil {
		// The cache passes on a table by its version, and everything else by revision. A table counts by its revision too, so it
		// comes after the entries that are older.
		d.cache.Replace(now, revision, current)
	}
	for _, entry := range tables {
		d.adopt(now, entry)
	}
	d.forwarder.TargetsChanged(now)
}

// Apply implements blwatch.Handler.
func (d *tableDaemon) Apply(now time.Time, entry basillift.RegistryEntry) {
	if !d.adopt(now, entry) {
		applied := d.fleet.Apply(now, entry)
		if isEvacuation(entry) {
			d.logUnreadableEvacuation(entry)
			d.logEvacuations()
		} else {
			d.logTarget(entry, applied)
		}
		if d.cache != nil {
			d.cache.Apply(now, entry)
		}
	}
	d.forwarder.TargetsChanged(now)
}

// logTarget logs a change of a target's entry and whether it was applied.
func (d *tableDaemon) logTarget(entry basillift.RegistryEntry, applied bool) {
	line := d.log.Event(bllog.TargetChanged()).Str("key", entry.Key()).Uint64("era", entry.Revision().Era()).Uint64("revision", entry.Revision().Number()).Bool("taken", applied)
	if e, ok := entry.Endpoint(); ok {
		line = line.Str("service", e.Service()).Str("address", e.Address()).Str("state", string(e.State())).
			Uint64("sequence", e.Sequence()).Time("born", e.StartedAt())
	}
	line.AnErr("unusable", entry.Invalid()).Send()
}

// WaitFailed implements blwatch.Handler.
func (d *tableDaemon) WaitFailed(_ time.Time, unanswered time.Duration, err error) {
	d.failedWaits.Inc()
	if d.fallback != nil {
		// A silent registry does not count as down while other daemons tell of changes, since waits are then canceled.
		d.fallback.start()
	}
	d.log.Event(bllog.WaitFailed()).Int64("unanswered_ms", unanswered.Milliseconds()).Err(err).Send()
}

// RegistryDown implements blwatch.Handler.
func (d *tableDaemon) RegistryDown(_ time.Time, err error) {
	if d.cache != nil {
		d.cache.SetRegistryDown(true)
		d.fallback.start()
	}
	d.log.Event(bllog.PlatformFailed()).Err(err).Send()
}

// RegistryRecovered implements blwatch.Handler.
func (d *tableDaemon) RegistryRecovered(now time.Time, o blwatch.Outage) {
	if !o.Partitioned() {
		d.fleet.RegistryRecovered(now)
	}
	d.forwarder.Reconnected(now)
	if d.cache != nil {
		d.fallback.registryRecovered()
		d.cache.SetRegistryDown(false)
	}
	d.log.Event(bllog.PlatformReturned()).Bool("cut", o.Partitioned()).
		Int64("unanswered_ms", o.Unanswered().Milliseconds()).Int("failed_requests", o.Failures()).Send()
}
