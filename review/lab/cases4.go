package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["left"] = caseLeft }

// caseLeft: three in ten clients leave while their upload waits for a server.
func caseLeft(w *world) (result, error) {
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
		clients, leaving = 60, 18
		few              = 3
		bodyBytes        = 1 << 20
		work             = 1300 * time.Millisecond
		leaveAfter       = 400 * time.Millisecond
		allowed          = 500 * time.Millisecond
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
				m.once(newCall(http.MethodPost, hostGallery, "/photos/first", 8*time.Second).withBody(4000))
			})
		}
		group.Wait()
	}
	calls := make([]*call, clients)
	left := make([]time.Time, clients)
	served := make([]bool, clients)
	for i := range clients {
		calls[i] = newCall(http.MethodPost, hostGallery, "/photos/grain", 8*time.Second).withBody(bodyBytes)
		m := w.machines[i%len(w.machines)]
		group.Go(func() {
			c, err := m.connect()
			if err != nil {
				return
			}
			defer c.close()
			if c.send(calls[i]) != nil {
				return
			}
			if w.trouble && i >= clients-leaving {
				time.Sleep(leaveAfter)
				c.close()
				left[i] = time.Now()
				w.logf("client on %s: leaves, id %s", m.name, calls[i].id)
				return
			}
			a := c.receive(calls[i], 10*time.Second)
			served[i] = a.status == http.StatusOK && a.genuine(calls[i])
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	late, total := 0, 0
	for i, k := range calls {
		if served[i] {
			total++
		}
		if left[i].IsZero() {
			continue
		}
		for _, e := range w.executions(k.id) {
			if e.began.After(left[i].Add(allowed)) {
				late++
				w.logf("id %s: server %s began to run it %.3f s after the client had left", k.id, e.server, e.began.Sub(left[i]).Seconds())
			}
		}
	}
	text := fmt.Sprintf("GONE: %d of %d clients left while their upload waited; %d of these uploads reached a server over half a second later and ran (a few are %d); %d of the others were served", leaving, clients, late, few, total)
	if !w.trouble {
		text = fmt.Sprintf("GONE: no client left; %d of %d uploads were served", total, clients)
	}
	return result{late > few, text}, nil
}
