package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/blplatform"
	"basillift.dev/basillift/blproxy"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/basillift/bltarget"
	"basillift.dev/basillift/bltimeline"
)

// refusalPeriod is how long a stopping daemon continues to refuse calls as "not run" after its last call. The other
// daemons learn within milliseconds that its target is draining. A call that they send before that would otherwise find
// the connection closed, and its outcome would be unknown.
const refusalPeriod = time.Second

var (
	errListen      = eris.New("could not listen")
	errInterrupted = eris.New("shutdown interrupted calls")
)

// build builds the daemon that routes by plans and customers, with all its parts.
func build(settings blsettings.Settings, log *bllog.Logger) (*daemon, error) {
	c := dig.New()
	constructors := []any{
		func() blsettings.Settings { return settings },
		func() *bllog.Logger { return log },
		func() basillift.Member { return settings.Member(time.Now()) },
		newTimeline, newPlatform, newNode, newProxy, newPoller, newNotices, newAdminSource, newAdmin, newDaemon,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return nil, fmt.Errorf("wire daemon: %w", err)
		}
	}
	var built *daemon
	if err := c.Invoke(func(d *daemon) { built = d }); err != nil {
		return nil, fmt.Errorf("build daemon: %w", dig.RootCause(err))
	}
	return built, nil
}

func newTimeline(self basillift.Member) *bltimeline.Log {
	return bltimeline.NewLog(self.ID(), self.Incarnation(), bltimeline.DefaultSize)
}

func newPlatform(s blsettings.Settings) (basillift.Platform, error) {
	client, err := blplatform.NewClient(s.Platform())
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	return client, nil
}

func newNode(s blsettings.Settings, self basillift.Member, p basillift.Platform, timeline *bltimeline.Log) (*blnode.Node, error) {
	node, err := blnode.New(self, s.Seeds(), p, timeline)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return node, nil
}

func newProxy(s blsettings.Settings, n *blnode.Node, timeline *bltimeline.Log) (*blproxy.Proxy, error) {
	limits := blproxy.NewSettings(s.Caller(), s.Addresses().Mesh(), s.Target()).
		WithTimeouts(s.Timeout(), s.MaxTimeout()).
		WithTarget(s.Slots(), s.Connections(), s.MaxQueued()).
		WithDrainLinger(refusalPeriod).
		WithDomains(s.Domains()).
		WithRecording(blproxy.Recording(s.Trace()))
	proxy, err := blproxy.New(limits, n, n, n, n, timeline, n)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	n.Handle(blproxy.MethodClaim, proxy.HandleClaim)
	n.Handle(blproxy.MethodSettle, proxy.HandleSettle)
	n.Handle(blproxy.MethodRoster, proxy.HandleRoster)
	n.Handle(blproxy.MethodSuspicion, proxy.HandleSuspicion)
	n.Handle(blproxy.MethodQuota, proxy.HandleQuota)
	return proxy, nil
}

// newPoller returns the poller of the target's state, which also observes the results of calls.
func newPoller(s blsettings.Settings, n *blnode.Node, p *blproxy.Proxy) *bltarget.Poller {
	poller := bltarget.New(bltarget.NewSettings(s.Target()), n)
	p.SetCallObserver(poller)
	return poller
}

func newNotices(s blsettings.Settings, n *blnode.Node, p *blproxy.Proxy, timeline *bltimeline.Log, log *bllog.Logger) *blnotice.Service {
	c := &conditionDetector{node: n, proxy: p}
	service := blnotice.NewService(n, n, timeline, log, c.conditions, s.Notify())
	n.Handle(blnotice.MethodCondition, func(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
		return service.Handle(time.Now(), params)
	})
	return service
}

func newAdmin(s *adminSource) *bladmin.Server { return bladmin.NewServer(s) }
