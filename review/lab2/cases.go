package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"
)

const (
	hostName  = "hides.example"
	catalogue = "catalogue"
	ledger    = "reservations"
)

// deployment starts three machines of the catalogue in three zones and one of the ledger, and waits until all are ready.
func deployment(w *world, work time.Duration, cold bool, routes ...route) error {
	w.putConfig(1, []string{catalogue, ledger}, cold, routes...)
	for _, m := range []struct{ zone, service string }{{"a", catalogue}, {"b", catalogue}, {"c", catalogue}, {"a", ledger}} {
		if _, _, err := w.addMachine(m.zone, m.service, work); err != nil {
			return err
		}
	}
	for _, s := range w.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

var catalogueRoute = route{name: "browse", host: hostName, prefix: "/browse/", timeout: "1200ms", service: catalogue}

// browse starts clients of the catalogue at all machines.
func browse(w *world) {
	for _, d := range w.daemons {
		w.startLoad(d, "browse", hostName, "/browse/", 20, 1200*time.Millisecond)
	}
}

// checkDrain lets a server report that it is leaving, lets it serve for some seconds beyond the drain period, and counts the
// requests that reach it later than that period after the store has accepted the report.
func checkDrain(w *world, s *server) bool {
	acknowledged := s.setState("draining")
	w.say("server %s is draining, accepted by the store at %.3f s", s.id, acknowledged.Sub(w.started).Seconds())
	time.Sleep(drain + 6*time.Second)
	for _, l := range w.loads {
		l.stop()
	}
	w.store.remove("servers/" + s.id)
	late, before := 0, 0
	var last time.Duration
	for _, a := range s.allArrivals() {
		switch after := a.at.Sub(acknowledged); {
		case after > drain:
			late++
			last = max(last, after)
		case after > -2*time.Second && after < 0:
			before++
		}
	}
	w.say("requests that reached %s: %d in the 2 s before the report, %d later than %s after it, the last %s after it", s.id, before, late, drain, last.Round(time.Millisecond))
	return late > 0
}

// foreignEntry: another writer puts an entry without a version under the key of a server. Later the server leaves.
func foreignEntry(w *world, trouble bool) (bool, error) {
	if err := deployment(w, 60*time.Millisecond, false, catalogueRoute); err != nil {
		return false, err
	}
	s := w.servers[1]
	browse(w)
	time.Sleep(3 * time.Second)
	if trouble {
		foreign, _ := json.Marshal(entry{Service: s.service, Address: s.address, Zone: s.zone, Slots: s.slots, State: "ready", ColdLeft: "0ms", Seq: 5000, Born: s.born})
		w.store.put("servers/"+s.id, foreign)
		w.say("another writer puts servers/%s %s", s.id, foreign)
	}
	time.Sleep(6 * time.Second)
	return checkDrain(w, s), nil
}

// clockBack: a server that has just started ends and starts again under its id, while the time of day of its machine jumps back.
// Later it leaves.
func clockBack(w *world, trouble bool) (bool, error) {
	if err := deployment(w, 60*time.Millisecond, false, catalogueRoute); err != nil {
		return false, err
	}
	s := w.servers[1]
	s.crash()
	w.store.remove("servers/" + s.id)
	s.id = "i-5c0ffee1"
	browse(w)
	time.Sleep(2 * time.Second)
	if err := s.start(); err != nil {
		return false, err
	}
	time.Sleep(1100 * time.Millisecond)
	w.say("server %s ends", s.id)
	s.crash()
	if trouble {
		const step = 2400 * time.Millisecond
		w.say("the time of day of its machine jumps back by %s, for 6 s", step)
		back := time.Now().Add(6 * time.Second)
		s.clock = func() time.Time {
			if now := time.Now(); now.After(back) {
				return now
			}
			return time.Now().Add(-step)
		}
	}
	time.Sleep(1100 * time.Millisecond)
	if err := s.start(); err != nil {
		return false, err
	}
	w.say("server %s has started again", s.id)
	time.Sleep(10 * time.Second)
	return checkDrain(w, s), nil
}

// weights: the operator splits a route by large weights, and changes them three times.
func weights(w *world, trouble bool) (bool, error) {
	first := route{name: "browse", host: hostName, prefix: "/browse/", timeout: "800ms", service: catalogue}
	if err := deployment(w, 60*time.Millisecond, false, first); err != nil {
		return false, err
	}
	for _, d := range w.daemons {
		w.startLoad(d, "browse", hostName, "/browse/", 20, 1500*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	unit := int64(1)
	if trouble {
		unit = 10_000_000
	}
	first.service = ""
	var acknowledged time.Time
	for i, share := range []int64{90, 80, 70, 60} {
		first.split = []weighted{{catalogue, share * unit}, {ledger, (100 - share) * unit}}
		if at := w.putConfig(2+i, []string{catalogue, ledger}, false, first); i == 0 {
			acknowledged = at
		}
		w.say("the route is split by the weights %d and %d", first.split[0].Weight, first.split[1].Weight)
		time.Sleep(4 * time.Second)
	}
	const timeout = 800 * time.Millisecond
	overdue, never, all := 0, 0, 0
	for _, l := range w.loads {
		for _, a := range l.stop() {
			if a.sent.Before(acknowledged) {
				continue
			}
			all++
			if a.took > timeout || a.status == 0 {
				overdue++
			}
			if a.took > timeout+500*time.Millisecond || a.status == 0 {
				never++
			}
		}
	}
	w.say("of %d requests after the first change, %d had no answer at the route's timeout, and %d had none half a second later", all, overdue, never)
	return never >= 8 && 4*never > overdue, nil
}

// routeName: the operator adds a route whose name has a space.
func routeName(w *world, trouble bool) (bool, error) {
	if err := deployment(w, 60*time.Millisecond, false, catalogueRoute); err != nil {
		return false, err
	}
	browse(w)
	time.Sleep(2 * time.Second)
	added := route{name: "hide-prices", host: hostName, prefix: "/prices/", timeout: "1200ms", service: ledger}
	if trouble {
		added.name = "hide prices"
	}
	acknowledged := w.putConfig(2, []string{catalogue, ledger}, false, catalogueRoute, added)
	w.say("route %q is added", added.name)
	time.Sleep(apply + time.Second)
	steady := time.Now()
	for _, d := range w.daemons[:3] {
		w.startLoad(d, "prices", hostName, "/prices/", 10, 1200*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	sent, served := map[string]int{}, map[string]int{}
	for _, l := range w.loads {
		for _, a := range l.stop() {
			if a.sent.Before(steady) {
				continue
			}
			sent[a.route]++
			if a.status >= 200 && a.status < 300 {
				served[a.route]++
			}
		}
	}
	w.say("%.1f s after the change: %d of %d requests on the first route are served, %d of %d on the added one", steady.Sub(acknowledged).Seconds(),
		served["browse"], sent["browse"], served["prices"], sent["prices"])
	shareFirst, shareAdded := float64(served["browse"])/float64(max(1, sent["browse"])), float64(served["prices"])/float64(max(1, sent["prices"]))
	return sent["prices"] >= 20 && shareAdded < shareFirst/4, nil
}

// coldAgain: a server becomes cold again in its run.
func coldAgain(w *world, trouble bool) (bool, error) {
	if err := deployment(w, 60*time.Millisecond, true, catalogueRoute); err != nil {
		return false, err
	}
	for _, d := range w.daemons {
		w.startLoad(d, "browse", hostName, "/browse/", 45, 1200*time.Millisecond)
	}
	time.Sleep(8*time.Second + 200*time.Millisecond)
	s := w.servers[1]
	began := time.Now()
	if trouble {
		s.mutex.Lock()
		s.coldUntil = began.Add(3 * time.Second)
		s.mutex.Unlock()
		w.say("server %s becomes cold for 3 s", s.id)
	}
	time.Sleep(4 * time.Second)
	for _, l := range w.loads {
		l.stop()
	}
	var cold []time.Time
	for _, a := range s.allArrivals() {
		if trouble && a.at.After(began) && a.at.Before(began.Add(3*time.Second)) {
			cold = append(cold, a.at)
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].Before(cold[j]) })
	const perSecond, excess, slack = 11.0, 1.5, 8.0
	most := 0
	for i := range cold {
		n := sort.Search(len(cold), func(j int) bool { return cold[j].After(cold[i].Add(time.Second)) }) - i
		most = max(most, n)
	}
	w.say("most requests in one second to the cold server: %d, allowed are %.1f", most, perSecond*excess+slack)
	return float64(most) > perSecond*excess+slack, nil
}

// largeAnswer: the store turns one machine away while versions of a large configuration follow each other. Afterwards the
// server of that machine leaves.
func largeAnswer(w *world, trouble bool) (bool, error) {
	routes := []route{catalogueRoute}
	for i := range 3100 {
		routes = append(routes, route{name: fmt.Sprintf("r-%07d", i), host: hostName, prefix: fmt.Sprintf("/idle-%05d/", i), timeout: "1200ms", service: catalogue})
	}
	if err := deployment(w, 60*time.Millisecond, false, routes...); err != nil {
		return false, err
	}
	s, d := w.servers[1], w.daemons[1]
	browse(w)
	time.Sleep(2 * time.Second)
	if trouble {
		w.say("the store answers nothing to %s for 9 s", d.name)
		w.store.setClosed(d.store, true)
	}
	end := time.Now().Add(9 * time.Second)
	versions := 0
	for ; time.Now().Before(end.Add(-200 * time.Millisecond)); time.Sleep(180 * time.Millisecond) {
		versions++
		routes[1].timeout = fmt.Sprintf("%dms", 1000+versions)
		w.putConfig(1+versions, []string{catalogue, ledger}, false, routes...)
	}
	time.Sleep(time.Until(end))
	if trouble {
		w.store.setClosed(d.store, false)
	}
	w.say("%d versions of the configuration have followed each other; the store answers all machines", versions)
	time.Sleep(4 * time.Second)
	return checkDrain(w, s), nil
}
