package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["refused"] = caseRefused
	cases["poison"] = casePoison
}

// caseRefused: one server of seven fails a part of its requests after it has worked on them, with a 503 of its own: with its
// seal and without X-Basillift-Not-Executed.
func caseRefused(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	const requests = 120
	if w.trouble {
		w.of("reservations")[0].server.setGrey(0.45)
	}
	refused, ran, ranTwice, served := 0, 0, 0, 0
	for i := range requests {
		m := w.machines[i%len(w.machines)]
		k := newCall(http.MethodPost, hostShop, "/reserve/hide-1", 1500*time.Millisecond).withBody(400)
		a := m.once(k)
		runs := len(w.executions(k.id))
		if a.status == http.StatusOK {
			served++
		}
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			continue
		}
		refused++
		if runs == 0 {
			continue
		}
		ran++
		w.logf("id %s was answered %d, which promises that it hasn't run; it ran %d times", k.id, a.status, runs)
		// The client may repeat a request that isn't idempotent after this promise.
		again := newCall(http.MethodPost, hostShop, "/reserve/hide-1", 1500*time.Millisecond).withBody(400)
		m.once(again)
		if len(w.executions(again.id)) > 0 {
			ranTwice++
			w.logf("the client's next attempt %s at the same reservation ran too", again.id)
		}
	}
	return result{ran > 0, fmt.Sprintf("REFUSED: of %d reservations %d were served and %d answered 503 or 429; %d of these had run, and %d of them ran once more when the client took the promise", requests, served, refused, ran, ranTwice)}, nil
}

// casePoison: a request crashes each server that begins to run it. It comes again with the same path, caller and body; the
// clients spell the host in several ways.
func casePoison(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	hosts := []string{"gallery.example", fmt.Sprintf("gallery.example:%d", portOutbound), "Gallery.Example", "GALLERY.EXAMPLE", "gallery.example."}
	for _, m := range w.of("gallery") {
		m.crashOn("/swatches/poison")
	}
	for i := range 2 * len(hosts) {
		host := hosts[0]
		if w.trouble {
			host = hosts[i/2]
		}
		w.of("catalogue")[0].once(newCall(http.MethodGet, host, "/swatches/poison", 1200*time.Millisecond))
		time.Sleep(boundContact + 500*time.Millisecond)
	}
	w.crashMutex.Lock()
	defer w.crashMutex.Unlock()
	late := 0
	for i, at := range w.crashes {
		if i >= 3 && at.After(w.crashes[2].Add(boundContact)) {
			late++
		}
	}
	return result{late > 3, fmt.Sprintf("BUDGET: the request has crashed servers %d times; %d times it reached a server later than %s after the third crash, allowed are 3", len(w.crashes), late, boundContact)}, nil
}

// crashOn makes the server of a machine crash when it begins to run a path. It is back after two seconds, as a new
// incarnation; the entry of the old one stays for three heartbeats.
func (m *machine) crashOn(path string) {
	m.server.setPlan(path, plan{crash: func(s *server, id string) {
		w := m.world
		w.crashMutex.Lock()
		w.crashes = append(w.crashes, time.Now())
		w.logf("server %s: begins to run request %s and crashes; crash %d", s.id, id, len(w.crashes))
		w.crashMutex.Unlock()
		s.stop()
		go func() {
			time.Sleep(2 * time.Second)
			again, err := newServer(w, m, fmt.Sprintf("%s-again", s.id), s.slots)
			if err != nil {
				w.logf("server %s does not start again: %v", s.id, err)
				return
			}
			w.mutex.Lock()
			m.server = again
			w.mutex.Unlock()
			m.crashOn(path)
			time.Sleep(2500 * time.Millisecond)
			w.store.put("servers/"+s.id, nil)
		}()
	}})
}
