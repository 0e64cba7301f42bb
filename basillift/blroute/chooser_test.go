package blroute

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// readyStatus returns a live and ready target in a failure domain. Its id sorts by
// number.
func readyStatus(number int, domain basillift.FailureDomain) basillift.Status {
	return statusWith(number, domain, basillift.TargetReady, basillift.LivenessAlive)
}

func statusWith(number int, domain basillift.FailureDomain, s basillift.TargetState, l basillift.Liveness) basillift.Status {
	id := basillift.VMID(fmt.Sprintf("vm-%02d", number))
	region := basillift.Region("east")
	if domain == "far" {
		region = "west"
	}
	m := basillift.NewMember(id, 1, basillift.NewAddresses("", "", ""), basillift.NewPlace(domain, region), "catalogue", 10)
	return basillift.NewStatus(m.WithState(s), l, false)
}

func newChooser() *Chooser {
	return NewChooser(basillift.NewPlace("a", "east"), DefaultSettings(), rand.New(rand.NewSource(1)))
}

// countChoices calls Choose 1000 times without starting calls and counts the chosen
// VMs, or the reasons if none was chosen.
func countChoices(c *Chooser, now time.Time, targets []basillift.Status, exclude ...basillift.VMID) map[basillift.VMID]int {
	seen := make(map[basillift.VMID]int)
	for range 1000 {
		m, reason := c.Choose(now, targets, exclude...)
		if reason != basillift.ReasonNone {
			seen[basillift.VMID(reason)]++
			continue
		}
		seen[m.ID()]++
	}
	return seen
}

// Guards against calls that leave the caller's failure domain although its targets
// have free slots, or stay in it although its targets are saturated.
func TestNearestGroupFirst(t *testing.T) {
	targets := []basillift.Status{readyStatus(1, "a"), readyStatus(2, "a"), readyStatus(3, "b"), readyStatus(4, "far")}
	now := epoch

	t.Run("own failure domain", func(t *testing.T) {
		seen := countChoices(newChooser(), now, targets)
		is.New(t).Equal(seen["vm-01"]+seen["vm-02"], 1000)
	})
	t.Run("spills within the region at 80 percent", func(t *testing.T) {
		c := newChooser()
		for range 8 {
			c.Started(now, "vm-01")
			c.Started(now, "vm-02")
		}
		is.New(t).Equal(countChoices(c, now, targets)["vm-03"], 1000)
	})
	t.Run("avoids a target after a refusal", func(t *testing.T) {
		c := newChooser()
		c.Started(now, "vm-01")
		c.Finished(now, "vm-01", ResultRefused)
		is.New(t).Equal(countChoices(c, now, targets)["vm-02"], 1000)
	})
	t.Run("excluded target", func(t *testing.T) {
		is.New(t).Equal(countChoices(newChooser(), now, targets, "vm-01")["vm-02"], 1000)
	})
	t.Run("all targets excluded", func(t *testing.T) {
		is.New(t).Equal(countChoices(newChooser(), now, targets[:1], "vm-01")[basillift.VMID(basillift.ReasonNoTarget)], 1000)
	})
}

// Guards against new calls to a target that is draining or leaving, and against
// refusing all calls when membership considers all targets dead, which may be wrong.
func TestTargetsNotAcceptingRequests(t *testing.T) {
	now := epoch
	draining := statusWith(1, "a", basillift.TargetDraining, basillift.LivenessAlive)
	leaving := basillift.NewStatus(readyStatus(2, "a").Member(), basillift.LivenessAlive, true)
	dead := statusWith(3, "a", basillift.TargetReady, basillift.LivenessDead)

	t.Run("only leaving targets", func(t *testing.T) {
		_, reason := newChooser().Choose(now, []basillift.Status{draining, leaving})
		is.New(t).Equal(reason, basillift.ReasonNoTarget)
	})
	t.Run("all others dead", func(t *testing.T) {
		is.New(t).Equal(countChoices(newChooser(), now, []basillift.Status{draining, leaving, dead})["vm-03"], 1000)
	})
	t.Run("dead target and a live one", func(t *testing.T) {
		is.New(t).Equal(countChoices(newChooser(), now, []basillift.Status{dead, readyStatus(4, "b")})["vm-04"], 1000)
	})
}

// Guards against more calls to a failing target, against the ejection of all targets,
// and against an ejection that never ends.
func TestEjection(t *testing.T) {
	targets := []basillift.Status{readyStatus(1, "a"), readyStatus(2, "a"), readyStatus(3, "a"), readyStatus(4, "a")}
	crash := func(c *Chooser, now time.Time, ids ...basillift.VMID) {
		for _, id := range ids {
			c.Started(now, id)
			c.Finished(now, id, ResultCrashed)
		}
	}

	t.Run("one of four targets crashes", func(t *testing.T) {
		c := newChooser()
		countChoices(c, epoch, targets)
		crash(c, epoch, "vm-01")
		is.New(t).Equal(countChoices(c, epoch, targets)["vm-01"], 0)
		is.New(t).True(countChoices(c, epoch.Add(20*time.Second), targets)["vm-01"] > 0)
	})
	t.Run("most targets ejected", func(t *testing.T) {
		c := newChooser()
		crash(c, epoch, "vm-01", "vm-02", "vm-03")
		is.New(t).True(countChoices(c, epoch, targets)["vm-02"] > 0)
	})
	t.Run("ejection time grows to 30 s", func(t *testing.T) {
		c, now := newChooser(), epoch
		for range 8 {
			crash(c, now, "vm-01")
			now = c.targets["vm-01"].ejectedUntil
		}
		is.New(t).Equal(c.targets["vm-01"].lastEjection, 30*time.Second)
	})
	t.Run("a few errors eject nothing", func(t *testing.T) {
		c, now := newChooser(), epoch
		for i := range 2000 {
			now = now.Add(time.Millisecond)
			c.Started(now, "vm-01")
			r := ResultOK
			if i%20 == 0 {
				r = ResultError
			}
			c.Finished(now, "vm-01", r)
		}
		is.New(t).True(!c.targets["vm-01"].ejected(now))
	})
	t.Run("a new incarnation is not ejected", func(t *testing.T) {
		c := newChooser()
		countChoices(c, epoch, targets)
		crash(c, epoch, "vm-01")
		restarted := append([]basillift.Status(nil), targets...)
		restarted[0] = basillift.NewStatus(targets[0].Member().WithOrder(2, 0), basillift.LivenessAlive, false)
		is.New(t).True(countChoices(c, epoch, restarted)["vm-01"] > 0)
	})
}

// Guards against a daemon that connects to every target of a large service, and
// against a subset without targets of other failure domains.
func TestSubset(t *testing.T) {
	var targets []basillift.Status
	for i := range 40 {
		targets = append(targets, readyStatus(i, []basillift.FailureDomain{"a", "b"}[i%2]))
	}
	c := newChooser()
	near, far := 0, 0
	for _, cd := range c.subset(epoch, targets) {
		if cd.group == groupSameDomain {
			near++
		} else {
			far++
		}
	}
	is.New(t).Equal([]int{near, far}, []int{12, 4})
}
