package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = caseDrain }

// caseDrain: one server of seven reports that it is draining while requests for it wait at the daemon beside it.
func caseDrain(w *world) (result, error) {
	if err := w.kbsMachines(); err != nil {
		return result{}, err
	}
	routes := kbsRoutes()
	for i := range routes {
		if routes[i].name == "r-upload" {
			routes[i].timeout, routes[i].goal = "8s", "5s"
		}
	}
	w.store.configure(7, routes, kbsServices, usualLimits)
	if err := w.startAll(); err != nil {
		return result{}, err
	}
	const (
		lingering = 800 * time.Millisecond
		clients   = 90
		work      = 1300 * time.Millisecond
		bodyBytes = 4000
	)
	for _, m := range w.of("gallery") {
		m.server.setPlan("/photos/grain", plan{work: work, answer: 400})
		m.server.setPlan("/photos/first", plan{work: work, answer: 400})
	}
	// A few requests at each server first, so that the daemons know how long the route takes.
	var group sync.WaitGroup
	for range 4 {
		for _, m := range w.of("gallery") {
			group.Go(func() {
				m.once(newCall(http.MethodPost, hostGallery, "/photos/first", 6*time.Second).withBody(bodyBytes))
			})
		}
		group.Wait()
	}
	calls := make([]*call, clients)
	answers := make([]*answer, clients)
	for i := range clients {
		calls[i] = newCall(http.MethodPost, hostGallery, "/photos/grain", 8*time.Second).withBody(bodyBytes)
		group.Go(func() { answers[i] = w.machines[i%len(w.machines)].once(calls[i]) })
		time.Sleep(2 * time.Millisecond)
	}
	leaving := w.of("gallery")[0].server
	time.Sleep(100 * time.Millisecond)
	var acknowledged time.Time
	if w.trouble {
		leaving.publish("draining")
		acknowledged = time.Now()
		w.logf("server %s: its report that it is draining is acknowledged", leaving.id)
		// It goes on serving for the drain period and a little longer, then it exits.
		time.AfterFunc(boundDrain+lingering, func() {
			w.logf("server %s: exits", leaving.id)
			leaving.stop()
		})
	}
	group.Wait()
	late, served, atLeaving, lost := 0, 0, 0, 0
	for i, k := range calls {
		if answers[i].status == http.StatusOK {
			served++
		}
		for _, e := range w.executions(k.id) {
			if e.server != leaving.id {
				continue
			}
			atLeaving++
			if w.trouble && e.began.After(acknowledged.Add(boundDrain)) {
				late++
				if answers[i].status != http.StatusOK {
					lost++
				}
				w.logf("id %s: reached server %s %.3f s after the acknowledgement", k.id, e.server, e.began.Sub(acknowledged).Seconds())
			}
		}
	}
	return result{late > 0, fmt.Sprintf("DRAIN: %d of %d uploads were served; %d ran at server %s, of which %d reached it later than %s after its leaving was acknowledged; %d of those were cut when it exited", served, clients, atLeaving, leaving.id, late, boundDrain, lost)}, nil
}
