package blforwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// answerWith returns a script that answers like answerOK, with a header field in addition.
func answerWith(field string) script {
	return func(w net.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"), field)
		return err == nil
	}
}

func (f *fakeTarget) total() (runs int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range f.runs {
		runs += n
	}
	return runs
}

// pressFor sends requests through all daemons, one after the other on each connection, for the given time. It returns how
// many were answered 200 and 503.
func (m *mesh) pressFor(t *testing.T, period time.Duration, connsPerDaemon int) (served, refused int) {
	t.Helper()
	var mutex sync.Mutex
	var conns sync.WaitGroup
	end := time.Now().Add(period)
	for daemon := range m.forwarders {
		for k := range connsPerDaemon {
			c := m.dial(t, daemon)
			conns.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					c.send(get(fmt.Sprintf("%d-%d-%d", daemon, k, i), "/get/x"))
					a := c.read()
					mutex.Lock()
					if a.status == http.StatusOK {
						served++
					} else {
						refused++
					}
					mutex.Unlock()
				}
			})
		}
	}
	conns.Wait()
	return served, refused
}

// Guards against a target that gets more requests than it accepts because each daemon sends as if it were alone.
func TestRequestLimitCountsAllDaemons(t *testing.T) {
	const perSecond, connsPerDaemon = 20.0, 4
	limited := startTarget(t, answerWith("X-Limit: 20"))
	m := startMesh(t, limited, limited, limited)
	// Only the first daemon is beside the target.
	for i := 1; i <= 2; i++ {
		m.fleet.Apply(time.Now(), removalOf(fmt.Sprintf("t%d", i), 10))
		m.forwarders[i].settings.targetAddress = "127.0.0.1:1"
	}
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t0", 20).WithEndpoint(m.endpointOf(0, limited)))
	began := time.Now()
	served, refused := m.pressFor(t, 2*time.Second, connsPerDaemon)
	// Requests that are sent before the first answer know no limit.
	accepted := perSecond*time.Since(began).Seconds() + perSecond/4 + float64(connsPerDaemon*len(m.forwarders))
	if got := limited.total(); float64(got) > accepted {
		t.Errorf("the target got %d requests, want at most %.1f", got, accepted)
	}
	is := is.New(t)
	is.True(served > 0)
	is.True(refused > 0)
	for _, f := range m.forwarders {
		got, known := f.advisories.Limit(time.Now(), m.endpointOf(0, limited))
		is.True(known)
		is.Equal(got, perSecond)
	}
}

// Guards against a burst of requests to a limited target after the daemon beside it has started again.
func TestRestartedDaemonLearnsRequestLimit(t *testing.T) {
	is := is.New(t)
	m := startMesh(t, startTarget(t, answerOK))
	f, now := m.forwarders[0], time.Now()
	meta := requestMetadata{instance: "i0", advisory: basillift.NewAdvisory().WithRequestLimit(1)}
	received, ok := parseMetadata(meta.format(now), now)
	is.True(ok)
	f.observeCallerAdvisory(now, received)
	running := 0
	for id := uint64(1); id <= 4; id++ {
		r := bladmit.NewSlotRequest(id, "r", 1, now.Add(time.Second), now.Add(time.Second)).WithLatencyObjective(time.Second)
		if f.admission.queue.Arrive(now, r).Result() == bladmit.AdmissionRun {
			running++
		}
	}
	is.Equal(running, 1)
}

// Guards against a burst of requests to a limited target after the daemon beside it has started again, if no caller's daemon
// knows of the limit.
func TestRestartedDaemonStartsFewRequestsUntilTargetAnswers(t *testing.T) {
	const slots = 3 * defaultSlots
	target := startTarget(t, answerOK)
	m := startMesh(t, target)
	f, now := m.forwarders[0], time.Now()
	publish := func(sequence uint64, startedAt time.Time) {
		e := basillift.NewEndpoint("i0", "catalogue", target.listener.Addr().String(), "a", slots, basillift.TargetReady).
			WithDaemon(m.daemonAddresses[0]).WithSequence(sequence).WithStart(startedAt, 0)
		m.fleet.Apply(now, basillift.NewRegistryEntry("t0", basillift.Revision(sequence)).WithEndpoint(e))
		f.TargetsChanged(now)
	}
	publish(10, now.Add(-time.Hour))
	for range slots {
		f.admission.enqueue(now, func(id uint64) bladmit.SlotRequest {
			return bladmit.NewSlotRequest(id, "r", 1, now.Add(time.Hour), now.Add(time.Hour)).WithLatencyObjective(time.Minute)
		})
	}
	is := is.New(t)
	is.Equal(f.admission.load().Running(), defaultSlots)
	t.Run("the target names no limit", func(t *testing.T) {
		f.observeOwnAnswer(now, "i0", &answer{fields: []field{{testHeaderNames.Seal(), "s"}}})
		is.New(t).Equal(f.admission.load().Running(), slots)
	})
	t.Run("the target starts after the daemon", func(t *testing.T) {
		f.admission.limitKnown = false
		publish(20, now.Add(time.Hour))
		is.New(t).True(f.admission.limitKnown)
	})
}

func TestParseAdvisory(t *testing.T) {
	for text, want := range map[string]float64{"20": 20, "0.25": 0.25, "0": 0, "": -1, "-1": -2, "x": -2, "NaN": -2, "Inf": -2} {
		t.Run("limit "+text, func(t *testing.T) {
			a := &answer{}
			if text != "" {
				a.fields = []field{{"x-limit", text}}
			}
			advisory, valid := parseAdvisory(testHeaderNames, a)
			got, limited := advisory.RequestLimit()
			is := is.New(t)
			is.Equal(valid, want > -2)
			is.Equal(limited, want >= 0)
			is.True(!limited || got == want)
		})
	}
}

func TestLoadReportCarriesAdvisory(t *testing.T) {
	plain := basillift.NewLoad(1, 2, 3, time.Second)
	for name, load := range map[string]basillift.Load{"fast link": plain, "slow link": plain.WithSlowLink(time.Second)} {
		t.Run(name, func(t *testing.T) {
			load = load.WithAdvisory(basillift.NewAdvisory().WithRequestLimit(25.8).WithLeaving())
			got := parseLoad(formatLoad(load))
			is := is.New(t)
			is.True(got != nil)
			is.Equal(*got, load)
		})
	}
	is.New(t).True(parseLoad("1 2 3 4 limit=x") == nil)
}

// Guards against requests to a target whose answers said that it is leaving, while the registry does not.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for name, daemon := range map[string]int{"beside the target": 0, "another daemon": 1} {
		t.Run(name, func(t *testing.T) {
			leaving, staying := startTarget(t, answerWith("X-Leaving: 1")), startTarget(t, answerOK)
			m := startMesh(t, leaving, staying)
			m.fleet.Apply(time.Now(), removalOf("t1", 10))
			c := m.dial(t, daemon)
			c.send(get("first", "/get/x"))
			a := c.assertAnswer(http.StatusOK, "")
			is.New(t).Equal(a.header.Get("X-Leaving"), "1")
			m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t1", 20).WithEndpoint(m.endpointOf(1, staying)))
			for i := range 100 {
				c.send(get(fmt.Sprint(i), "/get/x"))
				c.assertAnswer(http.StatusOK, "")
			}
			is.New(t).Equal(leaving.total(), 1)
		})
	}
}

// Guards against a target's daemon that lets requests through for longer than a leaving target may be used, for callers
// that do not know that it is leaving.
func TestLeavingTargetIsRefusedAfterDrainPeriod(t *testing.T) {
	meta := requestMetadata{instance: "i0"}
	said := &answer{fields: []field{{"X-Leaving", "1"}}}
	fromCaller := requestMetadata{instance: "i0", advisory: basillift.NewAdvisory().WithLeaving()}
	for name, observe := range map[string]func(f *Forwarder, now time.Time){
		"the target says so":     func(f *Forwarder, now time.Time) { f.observeOwnAnswer(now, "i0", said) },
		"a caller's daemon does": func(f *Forwarder, now time.Time) { f.observeCallerAdvisory(now, fromCaller) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, now := startMesh(t, startTarget(t, answerOK)).forwarders[0], time.Now()
			observe(f, now)
			is.Equal(f.targetSide.checkAvailable(now, meta), nil)
			refusal := f.targetSide.checkAvailable(now.Add(f.settings.drainPeriod), meta)
			is.True(refusal != nil)
			is.Equal(refusal.reason, basillift.ReasonDraining)
			is.Equal(f.targetSide.checkAvailable(now.Add(f.settings.drainPeriod), requestMetadata{instance: "i1"}), nil)
		})
	}
}
