package blforwarder

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

var soakSeeds = flag.Int("soak.seeds", 3, "number of seeds of TestCrashSoak")

const (
	soakDaemons = 5
	soakSteps   = 25
	// maxCrashesBySameRequest is what the users' pages allow: the third crash and three retries after that.
	maxCrashesBySameRequest = 6
)

// crashSoak sends harmless requests that are in flight while targets crash: by a request that comes again at any daemon, and
// without any.
type crashSoak struct {
	*crashMesh
	random   *rand.Rand
	crashing int
	sequence int
}

// startHarmless sends requests that stay at their targets until releaseAll, and returns their connections by path.
func (s *crashSoak) startHarmless(t *testing.T) map[string]*caller {
	t.Helper()
	started := make(map[string]*caller)
	for range 1 + s.random.Intn(4) {
		s.sequence++
		path := fmt.Sprintf("/get/held%d", s.sequence)
		c := s.dial(t, s.random.Intn(soakDaemons))
		c.send(withoutTimeLimit(get(fmt.Sprintf("h%d", s.sequence), path)))
		started[path] = c
	}
	return started
}

// step crashes a target while harmless requests are in flight, and checks that these and their repetitions are not refused.
func (s *crashSoak) step(t *testing.T) {
	t.Helper()
	held := s.startHarmless(t)
	if s.random.Intn(2) == 0 {
		before := s.crashes()
		s.sendCrashing(t, s.random.Intn(soakDaemons))
		s.crashing += s.crashes() - before
	} else {
		s.targets[s.random.Intn(soakDaemons)].crash()
	}
	s.releaseAll()
	for path, c := range held {
		if a := c.read(); a.status != http.StatusOK && a.status != http.StatusBadGateway {
			t.Errorf("%s: answer %d (%v) beside a crash", path, a.status, a.err)
		}
	}
	s.restartTargets(t)
	var repetitions sync.WaitGroup
	for path := range held {
		daemon, id := s.random.Intn(soakDaemons), fmt.Sprintf("r%s", path)
		repetitions.Go(func() {
			c := s.dial(t, daemon)
			c.send(withoutTimeLimit(get(id, path)))
			if a := c.read(); a.status != http.StatusOK {
				t.Errorf("%s: answer %d (%v) after a crash", path, a.status, a.err)
			}
		})
	}
	repetitions.Wait()
	for _, c := range s.targets {
		c.holdAgain()
	}
}

// sendCrashing sends the crashing request to a daemon. A retry of it waits for a held request that is a suspect too, so the held
// requests are released once it waits.
func (s *crashSoak) sendCrashing(t *testing.T, daemon int) {
	t.Helper()
	answered := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { s.releaseOnceSuspectWaits(answered) })
	s.send(t, daemon, func(id string) string { return withoutTimeLimit(crashRequest(id)) })
	close(answered)
	watcher.Wait()
}

// releaseOnceSuspectWaits releases the held requests when a suspect waits at a daemon, unless answered is closed before.
func (s *crashSoak) releaseOnceSuspectWaits(answered <-chan struct{}) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ticker.C:
		}
		for _, f := range s.forwarders {
			if f.quarantine.countWaiting(0) > 0 {
				s.releaseAll()
				return
			}
		}
	}
}

// releaseAll ends the requests that the targets hold.
func (s *crashSoak) releaseAll() {
	for _, c := range s.targets {
		c.releaseAll()
	}
}

// Guards against a crashing request that is stopped too late where targets crash for other causes too, and against refusals of
// harmless requests then.
func TestCrashSoak(t *testing.T) {
	for seed := range int64(*soakSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &crashSoak{crashMesh: startCrashMesh(t, soakDaemons, func(r *http.Request, _ []byte) bool { return strings.HasPrefix(r.URL.Path, crashingPath) }), random: rand.New(rand.NewSource(seed))}
			s.publish(t, 2, 2*hangGuard)
			for range soakSteps {
				s.step(t)
			}
			if s.crashing > maxCrashesBySameRequest {
				t.Errorf("the same request has crashed %d targets", s.crashing)
			}
			t.Logf("%d crashes by the same request, %d in all", s.crashing, s.crashes())
		})
	}
}

// releaseAll ends the requests that a target holds, and those that it receives until holdAgain.
func (c *crashableTarget) releaseAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	select {
	case <-c.release:
	default:
		close(c.release)
	}
}
