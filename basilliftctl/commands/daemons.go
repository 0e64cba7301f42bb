package commands

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
)

// maxConcurrentQueries limits how many daemons are queried at the same time.
const maxConcurrentQueries = 32

// daemonOptions selects one daemon to query, or all daemons that it knows.
type daemonOptions struct {
	Admin string `long:"admin" value-name:"IP:PORT" required:"true" description:"admin address of one daemon"`
	All   bool   `long:"all" description:"ask all daemons that this one knows"`
}

// daemon is one daemon to query.
type daemon struct {
	name  string
	admin string
	dead  bool // the queried daemon considers this one dead
}

// list returns the daemons to query, sorted by name. With All, members whose target is
// gone or that have no admin address are left out.
func (d daemonOptions) list() ([]daemon, error) {
	status, err := bladmin.NewClient(d.Admin).Status()
	if err != nil {
		return nil, unreadableError(err)
	}
	if !d.All {
		return []daemon{{name: status.Name, admin: d.Admin}}, nil
	}
	var daemons []daemon
	for _, m := range status.Members {
		gone := m.State == string(basillift.TargetGone)
		dead := m.Liveness == string(basillift.LivenessDead)
		if gone || m.Admin == "" {
			continue
		}
		daemons = append(daemons, daemon{name: m.Name, admin: m.Admin, dead: dead})
	}
	slices.SortFunc(daemons, func(a, b daemon) int { return cmp.Compare(a.name, b.name) })
	return daemons, nil
}

// answer is the result of the query of one daemon, or its error.
type answer[T any] struct {
	daemon daemon
	result T
	err    error
}

// query sends the same request to many daemons.
type query[T any] struct {
	send    func(*bladmin.Client) (T, error)
	answers []answer[T]
	indexes chan int // indexes of answers whose daemon is to be queried next
}

// queryAll sends the request to each daemon and returns the answers in the same order. A query
// that fails sets err in its own answer and does not affect the others.
func queryAll[T any](ctx context.Context, daemons []daemon, send func(*bladmin.Client) (T, error)) []answer[T] {
	q := &query[T]{send: send, answers: make([]answer[T], len(daemons)), indexes: make(chan int)}
	var group sync.WaitGroup
	for range min(maxConcurrentQueries, len(daemons)) {
		group.Go(q.run)
	}
	for i := range daemons {
		q.answers[i].daemon = daemons[i]
		if ctx.Err() != nil {
			q.answers[i].err = ctx.Err()
			continue
		}
		q.indexes <- i
	}
	close(q.indexes)
	group.Wait()
	return q.answers
}

func (q *query[T]) run() {
	for i := range q.indexes {
		q.answers[i].result, q.answers[i].err = q.send(bladmin.NewClient(q.answers[i].daemon.admin))
	}
}

// warnUnanswered returns how many daemons did not answer, and prints a warning for each of
// them that is not considered dead.
func warnUnanswered[T any](s Streams, answers []answer[T]) int {
	count := 0
	for _, a := range answers {
		if a.err == nil {
			continue
		}
		count++
		if !a.daemon.dead {
			s.warnf("%s: %s\n", a.daemon.name, a.err)
		}
	}
	return count
}
