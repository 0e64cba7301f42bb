package commands

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
)

// askers is how many daemons are asked at the same time.
const askers = 32

// daemons names the daemon to ask, and whether to ask all that it knows.
type daemons struct {
	Admin string `long:"admin" value-name:"IP:PORT" required:"true" description:"admin address of one daemon"`
	All   bool   `long:"all" description:"ask all daemons that this one knows"`
}

// found is one daemon to ask.
type found struct {
	name  string
	admin string
	dead  bool
}

// list returns the daemons to ask, sorted by name.
func (d daemons) list() ([]found, error) {
	status, err := bladmin.NewClient(d.Admin).Status()
	if err != nil {
		return nil, failure(err)
	}
	if !d.All {
		return []found{{name: status.Name, admin: d.Admin}}, nil
	}
	var all []found
	for _, m := range status.Members {
		gone := m.State == string(basillift.TargetGone)
		dead := m.Liveness == string(basillift.LivenessDead)
		if gone || m.Admin == "" {
			continue
		}
		all = append(all, found{name: m.Name, admin: m.Admin, dead: dead})
	}
	slices.SortFunc(all, func(a, b found) int { return cmp.Compare(a.name, b.name) })
	return all, nil
}

// answer is what one daemon answered.
type answer[T any] struct {
	daemon found
	result T
	err    error
}

// asking asks many daemons the same question.
type asking[T any] struct {
	question func(*bladmin.Client) (T, error)
	answers  []answer[T]
	next     chan int
}

// askAll asks each daemon and returns the answers in the same order. A daemon that does not
// answer has an error; the others are not affected.
func askAll[T any](ctx context.Context, all []found, question func(*bladmin.Client) (T, error)) []answer[T] {
	a := &asking[T]{question: question, answers: make([]answer[T], len(all)), next: make(chan int)}
	var group sync.WaitGroup
	for range min(askers, len(all)) {
		group.Go(a.run)
	}
	for i := range all {
		a.answers[i].daemon = all[i]
		if ctx.Err() != nil {
			a.answers[i].err = ctx.Err()
			continue
		}
		a.next <- i
	}
	close(a.next)
	group.Wait()
	return a.answers
}

func (a *asking[T]) run() {
	for i := range a.next {
		a.answers[i].result, a.answers[i].err = a.question(bladmin.NewClient(a.answers[i].daemon.admin))
	}
}

// unanswered prints the daemons that did not answer and returns how many there were.
func unanswered[T any](s Streams, answers []answer[T]) int {
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
