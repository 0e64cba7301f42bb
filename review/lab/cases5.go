package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = caseStop }

// caseStop: a daemon is stopped while uploads that it has accepted wait for a server.
func caseStop(w *world) (result, error) {
	if err := w.kbsMachines(); err != nil {
		return result{}, err
	}
	routes := kbsRoutes()
	for i := range routes {
		if routes[i].name == "r-upload" {
			routes[i].timeout, routes[i].goal = "10s", "9500ms"
		}
	}
	w.store.configure(7, routes, kbsServices, usualLimits)
	if err := w.startAll(); err != nil {
		return result{}, err
	}
	const (
		others, own = 100, 40
		bodyBytes   = 4000
		work        = 1300 * time.Millisecond
		grace       = 6 * time.Second
		lossSlack   = 200 * time.Millisecond
	)
	for _, m := range w.of("gallery") {
		m.server.setPlan("/photos/grain", plan{work: work, answer: 400})
		m.server.setPlan("/photos/first", plan{work: work, answer: 400})
	}
	var group sync.WaitGroup
	for range 4 {
		for _, m := range w.of("gallery") {
			group.Go(func() {
				m.once(newCall(http.MethodPost, hostGallery, "/photos/first", 10*time.Second).withBody(bodyBytes))
			})
		}
		group.Wait()
	}
	stopped := w.machines[0]
	upload := func(m *machine) (*call, *answer, time.Time, time.Time) {
		k := newCall(http.MethodPost, hostGallery, "/photos/grain", 10*time.Second).withBody(bodyBytes)
		c, err := m.connect()
		if err != nil {
			return k, &answer{err: err}, time.Time{}, time.Time{}
		}
		defer c.close()
		if err = c.send(k); err != nil {
			return k, &answer{err: err}, time.Time{}, time.Time{}
		}
		sent := time.Now()
		return k, c.receive(k, 12*time.Second), sent, time.Now()
	}
	var mutex sync.Mutex
	served, refused, lost, lostUnrun, excused := 0, 0, 0, 0, 0
	var signaled time.Time
	for i := range others {
		m := w.machines[1+i%(len(w.machines)-1)]
		group.Go(func() { upload(m) })
		time.Sleep(2 * time.Millisecond)
	}
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
	}
	signaled = time.Now()
	// The platform asks once a second; after two misses the clients send nothing more.
	group.Go(func() {
		for range 6 {
			time.Sleep(time.Second)
			ready := stopped.ready()
			w.logf("%s: ready: %v", stopped.name, ready)
		}
	})
	for range own {
		group.Go(func() {
			k, a, sent, ended := upload(stopped)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case a.status == http.StatusOK && a.genuine(k):
				served++
			case a.err == nil:
				refused++
			case sent.IsZero() || ended.Sub(sent) <= lossSlack:
			default:
				runs := w.executions(k.id)
				// Not counted: the server was still at work in the last sixth of the grace period.
				for _, e := range runs {
					if e.ended.IsZero() || e.ended.After(signaled.Add(grace*5/6)) {
						excused++
						return
					}
				}
				lost++
				if len(runs) == 0 {
					lostUnrun++
				}
				w.logf("id %s: read %.3f s before its connection ended without an answer; it ran %d times", k.id, ended.Sub(sent).Seconds(), len(runs))
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	return result{lost > 0, fmt.Sprintf("LOST: of %d uploads at the stopped daemon %d were served, %d refused, and %d ended without an answer (%d of these never ran); %d more are not counted, since their server was still at work", own, served, refused, lost, lostUnrun, excused)}, nil
}
