package blrelay

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

const (
	// joinPeers is how many peers that hold a version are asked before a version from the
	// platform is adopted. The platform may answer an older version than the mesh holds.
	joinPeers = 2
	// joinWait ends the wait for peers, so that a daemon without peers starts too.
	joinWait = 3 * time.Second
	// joinEmpty is the shortest wait when all known members answered that they hold
	// nothing: daemons that restart together know few others at first.
	joinEmpty = time.Second
)

// Join is the progress of a daemon that starts. The zero value is not usable.
type Join struct {
	started time.Time
	answers map[basillift.VMID]basillift.Version
	members int
	ready   bool
}

// NewJoin returns the progress of a daemon that started at the given time.
func NewJoin(now time.Time) *Join {
	return &Join{started: now, answers: map[basillift.VMID]basillift.Version{}}
}

// Answered notes the version that a peer says it holds.
func (j *Join) Answered(peer basillift.VMID, v basillift.Version) {
	if !j.ready {
		j.answers[peer] = v
	}
}

// Unreachable forgets a peer that can no longer be reached.
func (j *Join) Unreachable(peer basillift.VMID) { delete(j.answers, peer) }

// Known sets how many other members are known to be alive.
func (j *Join) Known(members int) { j.members = members }

// Asked reports whether enough peers answered or the wait for them is over. Peers that
// hold nothing count only when all known members answered: they may be starting as well,
// while others that were not asked hold a newer version than the platform.
func (j *Join) Asked(now time.Time) bool {
	if j.ready || now.Sub(j.started) >= joinWait {
		return true
	}
	holding := 0
	for _, v := range j.answers {
		if !v.IsZero() {
			holding++
		}
	}
	if holding >= joinPeers {
		return true
	}
	return len(j.answers) >= max(j.members, joinPeers) && now.Sub(j.started) >= joinEmpty
}

// MayAdoptFromPlatform reports whether enough peers were asked and no reachable one holds
// a newer version than the one that the platform gave.
func (j *Join) MayAdoptFromPlatform(now time.Time, v basillift.Version) bool {
	return j.ready || j.Asked(now) && v.Compare(j.newest()) >= 0
}

// Ready reports whether the daemon may serve calls: it holds a version that is not older
// than that of any reachable peer. Once true it stays true.
func (j *Join) Ready(now time.Time, held basillift.Version) bool {
	if j.ready {
		return true
	}
	if held.IsZero() || !j.MayAdoptFromPlatform(now, held) {
		return false
	}
	j.ready = true
	j.answers = nil
	return true
}

func (j *Join) newest() basillift.Version {
	var newest basillift.Version
	for _, v := range j.answers {
		newest = newer(newest, v)
	}
	return newest
}

const (
	// transferLimit is the number of full transfers that a daemon serves at once.
	transferLimit = 4
	// transferRetry is the base of the time after which a refused requester asks again.
	transferRetry = 100 * time.Millisecond
)

// Transfers bounds the full transfers that a daemon serves at once. It is not safe for
// use by several goroutines.
type Transfers struct {
	running int
	random  *rand.Rand
}

// NewTransfers returns a bound with no transfer running.
func NewTransfers(random *rand.Rand) *Transfers { return &Transfers{random: random} }

// Begin takes a place, or returns the time after which to ask another peer.
func (t *Transfers) Begin() (time.Duration, bool) {
	if t.running >= transferLimit {
		return transferRetry + time.Duration(t.random.Int63n(int64(transferRetry))), false
	}
	t.running++
	return 0, true
}

// End gives the place back.
func (t *Transfers) End() { t.running-- }
