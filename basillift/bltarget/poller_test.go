package bltarget

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"basillift.dev/basillift"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp starts this goroutine once for the Date header and never ends it.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// These two goroutines of fasthttp end some seconds after their server or client.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// fakeTarget is a basillift.LocalTarget that only stores its state.
type fakeTarget struct{ state atomic.Value }

func (f *fakeTarget) State() basillift.TargetState     { return f.state.Load().(basillift.TargetState) }
func (f *fakeTarget) SetState(s basillift.TargetState) { f.state.Store(s) }

// Guards against a state that is not announced, that is derived from an invalid load
// report, or that replaces draining or gone.
func TestPoller(t *testing.T) {
	var report atomic.Value
	report.Store(`{"slots":10,"used":3,"queue":0,"state":"ready"}`)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/load" {
			ctx.SetBodyString(report.Load().(string))
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	target := &fakeTarget{}
	target.SetState(basillift.TargetStarting)
	poller := New(NewSettings(l.Addr().String()).WithInterval(time.Millisecond, time.Second), target)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); poller.Run(ctx) }()

	waitForState(target, basillift.TargetReady)
	is.New(t).Equal(poller.Load().Used(), 3)
	report.Store(`{"state":"shedding"}`)
	waitForState(target, basillift.TargetShedding)
	report.Store(`{"state":`)
	waitForState(target, basillift.TargetReady)
	poller.Drain()
	is.New(t).Equal(target.State(), basillift.TargetDraining)
	target.SetState(basillift.TargetGone)
	poller.poll()
	is.New(t).Equal(target.State(), basillift.TargetGone)

	cancel()
	<-done
	is.New(t).NoErr(server.Shutdown())
	is.New(t).NoErr(<-served)
}

func waitForState(target *fakeTarget, s basillift.TargetState) {
	for target.State() != s {
		time.Sleep(time.Millisecond)
	}
}
