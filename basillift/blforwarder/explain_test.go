package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bltable"
)

// explained is a daemon without connections beside the target i0 of the service catalogue; i1 is in another failure domain.
type explained struct {
	*Forwarder
	now time.Time
}

func newExplained(t *testing.T) *explained {
	t.Helper()
	m := &mesh{fleet: blfleet.New(), tables: bltable.NewHolder()}
	m.publish(t, 1, time.Second)
	s := NewSettings("x:1", "x:2", "x:3").WithTarget("t:0", "catalogue", "a").WithHeaderNames(testHeaderNames).WithRetryAllowance(1, 100)
	x := &explained{Forwarder: New(s, m.tables, m.fleet, nil, rand.New(rand.NewSource(1))), now: time.Now()}
	for i, domain := range []basillift.FailureDomain{"a", "b"} {
		e := basillift.NewEndpoint(fmt.Sprintf("i%d", i), "catalogue", fmt.Sprintf("t:%d", i), domain, 2, basillift.TargetReady).WithDaemon(fmt.Sprintf("d:%d", i))
		m.fleet.Apply(x.now, basillift.NewRegistryEntry(e.Instance(), basillift.Revision(i)+1).WithEndpoint(e))
	}
	x.TargetsChanged(x.now)
	return x
}

// occupy makes requests run and wait at the VM's own target, ahead of those with the latency objective of the test's routes.
func (x *explained) occupy(requests int) {
	const objective = 400 * time.Millisecond
	meta := requestMetadata{route: "get", latencyObjective: objective, softDeadline: x.now.Add(objective), deadline: x.now.Add(hangGuard)}
	for range requests {
		x.admission.enqueue(x.now, meta.slotRequest)
	}
}

func (x *explained) evacuate(domains ...string) {
	for i, domain := range domains {
		x.fleet.Apply(x.now, evacuationOf(basillift.FailureDomain(domain), basillift.Revision(20+i)))
	}
	x.TargetsChanged(x.now)
}

// pauseRemote makes the balancer pause i1.
func (x *explained) pauseRemote() {
	target := x.fleet.Targets("catalogue")[1]
	x.balancer.Started(x.now, target)
	x.balancer.Ended(x.now, target, blbalance.NewRequest("get", 0, x.now), blbalance.ResultUnreachable, time.Millisecond, nil)
}

func getQuery() blexplain.Query { return blexplain.NewQuery("shop.example", "/get/x") }

// Guards against an explanation that decides otherwise than a request, or does not say why.
func TestExplain(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(x *explained)
		query   blexplain.Query
		want    blexplain.Explanation
		lines   []string
	}{
		"runs at the own target": {
			query: getQuery().WithBytes(900).WithDeadline(400 * time.Millisecond),
			want:  blexplain.Explanation{Action: blexplain.ActionRun, Target: "i0", Domain: "a"},
			lines: []string{
				"decision: goes to i0 in a, runs at once", "route: get, the longest prefix is /get/", "deadline: in 395ms, soft deadline in 500ms, objective 500ms; the caller waits 400ms",
				"bytes: 1600 expected", "1 of 1 local and 1 of 1 remote targets are compared", "target i1: usable, in b, ", "late ", "target of this VM: i0 would run the request at once",
			},
		},
		"waits at the own target": {
			prepare: func(x *explained) {
				x.evacuate("b")
				x.occupy(2)
				x.admission.queue.Finish(x.now.Add(80*time.Millisecond), 1, true)
				x.occupy(1)
			},
			query: getQuery(),
			want:  blexplain.Explanation{Action: blexplain.ActionWait, Target: "i0", Domain: "a"},
			lines: []string{"decision: goes to i0 in a, waits for up to", "target i1: evacuated since", "target of this VM: the request would wait for i0 now, up to"},
		},
		"refused by the own target, goes to the next one": {
			prepare: func(x *explained) { x.occupy(20) },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionSend, Target: "i1", Domain: "b"},
			lines:   []string{"decision: goes to i1 in b", "attempt: i0 refuses, reason overload", "queue of i1: not known here, no load report", "target of this VM: i0 would refuse the request now with 503, reason overload, Retry-After"},
		},
		"refused by all": {
			prepare: func(x *explained) {
				x.occupy(20)
				x.evacuate("b")
			},
			query: getQuery(),
			want:  blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 503, Reason: "overload"},
			lines: []string{"decision: refused with 503, reason overload, Retry-After"},
		},
		"own target refused a connection": {
			prepare: func(x *explained) { x.admission.markDown(x.now) },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionSend, Target: "i1", Domain: "b"},
			lines:   []string{"attempt: i0 refuses, reason no-target"},
		},
		"own target refused a connection before the pause": {
			prepare: func(x *explained) { x.admission.markDown(x.now.Add(-downPause)) },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionRun, Target: "i0", Domain: "a"},
		},
		"paused": {
			prepare: func(x *explained) { x.pauseRemote() },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionRun, Target: "i0", Domain: "a"},
			lines:   []string{"target i1: left out, paused, in b"},
		},
		"leaving": {
			prepare: func(x *explained) {
				x.advisories.ObserveReport(x.now, x.fleet.Targets("catalogue")[0].Endpoint(), basillift.NewAdvisory().WithLeaving())
			},
			query: getQuery().WithBytes(1 << 20),
			want:  blexplain.Explanation{Action: blexplain.ActionSend, Target: "i1", Domain: "b"},
			lines: []string{"target i0: left out, leaving", "reservation: the daemon beside i1 is asked"},
		},
		"all evacuated": {
			prepare: func(x *explained) { x.evacuate("a", "b") },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 503, Reason: "evacuated", Retry: 1},
			lines:   []string{"decision: refused with 503, reason evacuated, Retry-After 1.000", "targets of catalogue: none; the answer is 503", "i0 would refuse the request now with 503, reason evacuated"},
		},
		"no route":        {query: blexplain.NewQuery("shop.example", "/none/"), want: blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 404, Reason: "unknown-service"}, lines: []string{"path: no prefix"}},
		"body too large":  {query: getQuery().WithBytes(5 << 20), want: blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 413, Reason: "bad-request"}, lines: []string{"allowed are 4194304"}},
		"deadline passed": {query: getQuery().WithDeadline(time.Millisecond), want: blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 503, Reason: "deadline"}, lines: []string{"Retry-After 0.000"}},
		"stopping": {
			prepare: func(x *explained) { x.refusesRequests.Store(true) },
			query:   getQuery(),
			want:    blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 503, Reason: "draining"},
			lines:   []string{"decision: refused with 503, reason draining, Retry-After 0.300"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newExplained(t)
			if c.prepare != nil {
				c.prepare(x)
			}
			before := dumpState(x.Forwarder)
			e := x.Explain(x.now, c.query)
			if after := dumpState(x.Forwarder); !slices.Equal(before, after) {
				t.Errorf("the explanation changed the state: %v", firstDifference(before, after))
			}
			assertExplained(t, e, c.want, c.lines)
		})
	}
}

func assertExplained(t *testing.T, got, want blexplain.Explanation, lines []string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Action, want.Action)
	is.Equal(got.Target, want.Target)
	is.Equal(got.Domain, want.Domain)
	is.Equal(got.Status, want.Status)
	is.Equal(got.Reason, want.Reason)
	is.True(want.Retry == 0 || got.Retry == want.Retry)
	is.True(strings.HasPrefix(got.Lines[0], "decision: "))
	for _, text := range lines {
		if !strings.Contains(strings.Join(got.Lines, "\n"), text) {
			t.Errorf("no line has %q:\n%s", text, strings.Join(got.Lines, "\n"))
		}
	}
}

// Guards against a decision of the explanation that the request does not get.
func TestExplainAgreesWithRequest(t *testing.T) {
	actions := map[blexplain.Action]bool{}
	for requests := range 12 {
		x := newExplained(t)
		x.evacuate("b")
		x.occupy(requests)
		e := x.Explain(x.now, getQuery())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		caller := &callerSide{forwarder: x.Forwarder}
		rr := caller.prepare(&request{uri: "/get/x", host: "shop.example", arrived: x.now}, routeOf(t, x), recordingLookups{x.Forwarder})
		rr.metadata.instance = "i0"
		_, refusal := x.admission.acquire(ctx, x.now, acceptedAs("r"), x.admission.classify(x.now, rr.metadata))
		is := is.New(t)
		switch e.Action {
		case blexplain.ActionRun:
			is.True(refusal == nil)
		case blexplain.ActionWait:
			is.Equal(refusal.reason, basillift.ReasonCallerGone)
		default:
			is.Equal(string(refusal.reason), e.Reason)
			is.Equal(refusal.retryAfter.Seconds(), e.Retry)
		}
		actions[e.Action] = true
	}
	is.New(t).Equal(len(actions), 3)
}

func routeOf(t *testing.T, x *explained) *basillift.Route {
	t.Helper()
	route, found := x.tables.Current().Match("shop.example", "/get/x")
	is.New(t).True(found)
	return route
}

// dumpState lists all values that can be reached from a daemon, also the state of its random numbers and its counters.
func dumpState(f *Forwarder) []string {
	d := dumper{visited: map[uintptr]bool{}}
	d.walk("f", reflect.ValueOf(f))
	return d.lines
}

type dumper struct {
	visited map[uintptr]bool
	lines   []string
}

func (d *dumper) walk(name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || d.visited[v.Pointer()] || v.Type() == reflect.TypeFor[*time.Location]() {
			return
		}
		d.visited[v.Pointer()] = true
		d.walk(name, v.Elem())
	case reflect.Interface:
		d.walk(name, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			d.walk(name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		d.lines = append(d.lines, fmt.Sprint(name, " has ", v.Len()))
		for i := range v.Len() {
			d.walk(fmt.Sprintf("%s[%d]", name, i), v.Index(i))
		}
	case reflect.Map:
		d.walkMap(name, v)
	case reflect.Invalid, reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		d.lines = append(d.lines, fmt.Sprint(name, "=", v))
	}
}

func (d *dumper) walkMap(name string, v reflect.Value) {
	d.lines = append(d.lines, fmt.Sprint(name, " has ", v.Len()))
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, k := range keys {
		d.walk(fmt.Sprintf("%s[%v]", name, k), v.MapIndex(k))
	}
}

func firstDifference(before, after []string) string {
	for i := range min(len(before), len(after)) {
		if before[i] != after[i] {
			return before[i] + " -> " + after[i]
		}
	}
	return fmt.Sprint(len(before), " -> ", len(after), " values")
}

// Guards against a split route whose explanation hides a service, or shows another one than the next request gets.
func TestExplainSplit(t *testing.T) {
	is := is.New(t)
	x := newExplained(t)
	route := basillift.NewRoute("get", "shop.example", "/get/", basillift.KindIdempotent, basillift.NewWeightedService("catalogue", 1), basillift.NewWeightedService("gallery", 3)).
		WithTimes(time.Second, time.Second).WithAttempts(2)
	services := []basillift.ServiceLimits{basillift.NewServiceLimits("catalogue", "/", 100), basillift.NewServiceLimits("gallery", "/", 100)}
	_, err := x.tables.Adopt(basillift.NewRoutingSpec(2, []basillift.Route{route}, services, basillift.NewClientLimits(8<<10, 4<<20, time.Second, time.Second)))
	is.NoErr(err)
	assertExplained(t, x.Explain(x.now, getQuery()), blexplain.Explanation{Action: blexplain.ActionRefuse, Status: 503, Reason: "no-target"}, []string{
		"split: not used by this daemon yet, starts at random; shown is gallery", "targets of gallery: none; the answer is 503", "target i0: usable",
	})
	for range 8 {
		x.splitter.Pick(routeOf(t, x))
		before := dumpState(x.Forwarder)
		e := x.Explain(x.now, getQuery())
		is.True(slices.Equal(before, dumpState(x.Forwarder)))
		is.True(slices.Contains(e.Lines, "split: the next request goes to "+e.Service))
		next, _ := x.splitter.Preview(routeOf(t, x))
		is.Equal(e.Service, next)
	}
}
