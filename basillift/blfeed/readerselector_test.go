package blfeed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// neighbors returns daemons "d-0", "d-1" and so on; the first ones are in the own failure domain.
func neighbors(count, near int) []basillift.Neighbor {
	all := make([]basillift.Neighbor, count)
	for i := range all {
		all[i] = basillift.NewNeighbor(fmt.Sprintf("d-%d", i), i < near)
	}
	return all
}

func assertChoice(t *testing.T, r *ReaderSelector, now time.Time, all []basillift.Neighbor, want string) {
	t.Helper()
	got, found := r.Choose(now, all)
	if got != want || found != (want != "") {
		t.Errorf("chose %q, want %q", got, want)
	}
}

func newResponse(state basillift.FeedState, readers ...string) basillift.FeedResponse {
	return basillift.NewFeedResponse(state, 1).WithReaders(readers)
}

// Guards against requests to other daemons while a reader is known.
func TestChoose(t *testing.T) {
	is := is.New(t)
	all := neighbors(3, 1)
	r := NewReaderSelector("own")
	assertChoice(t, r, start, all, "")
	is.Equal(len(r.Candidates(start, all, 9)), 3)
	is.Equal(len(r.Candidates(start, all, 2)), 2)
	t.Run("a follower names readers", func(t *testing.T) {
		is := is.New(t)
		r.Replied(start, "d-2", newResponse(basillift.FeedFollower, "d-1"))
		is.Equal(r.Candidates(start, all, 9), []string{"d-0"})
		assertChoice(t, r, start, all, "d-1")
		is.Equal(r.ServeFeed(context.Background(), basillift.NewFeedRequest(1, 0)).Readers(), []string{"d-1"})
	})
	t.Run("a reader in the own failure domain is preferred", func(t *testing.T) {
		r.Replied(start, "d-0", newResponse(basillift.FeedUnchanged))
		assertChoice(t, r, start, all, "d-0")
	})
	t.Run("a reader that is behind or does not answer is avoided for a while", func(t *testing.T) {
		r.Replied(start, "d-0", newResponse(basillift.FeedStale))
		assertChoice(t, r, start, all, "d-1")
		r.Failed(start, "d-1")
		assertChoice(t, r, start.Add(avoidDuration), all, "d-0")
	})
	t.Run("the daemon itself is not asked", func(t *testing.T) {
		is.New(t).Equal(len(NewReaderSelector("d-0").Candidates(start, neighbors(1, 1), 9)), 0)
	})
}

// Guards against endless requests where all daemons are followers, and against followers that stay excluded forever.
func TestNoReader(t *testing.T) {
	is := is.New(t)
	all := neighbors(4, 2)
	r := NewReaderSelector("own")
	for _, n := range all {
		r.Replied(start, n.Address(), newResponse(basillift.FeedFollower))
	}
	is.Equal(len(r.Candidates(start, all, 9)), 0)
	is.Equal(len(r.Candidates(start.Add(followerStateTTL), all, 9)), 4)
}

// Guards against followers that all choose the same reader.
func TestFollowersSpreadOverReaders(t *testing.T) {
	all := neighbors(4, 4)
	asked := map[string]int{}
	for i := range 400 {
		r := NewReaderSelector(fmt.Sprintf("own-%d", i))
		for _, n := range all {
			r.Replied(start, n.Address(), newResponse(basillift.FeedUnchanged))
		}
		address, _ := r.Choose(start, all)
		asked[address]++
	}
	for _, n := range all {
		if c := asked[n.Address()]; c < 50 || c > 150 {
			t.Errorf("%d of 400 followers chose %s, want about 100", c, n.Address())
		}
	}
}

// Guards against keeping the state of daemons that have left the mesh.
func TestRetain(t *testing.T) {
	r := NewReaderSelector("own")
	r.Replied(start, "gone", newResponse(basillift.FeedUnchanged))
	r.Retain(neighbors(1, 0))
	is.New(t).Equal(len(r.peers), 0)
}
