package blbalance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladvisory"
)

// countingSource counts the random numbers that are taken.
type countingSource struct {
	rand.Source
	taken int
}

func (c *countingSource) Int63() int64 {
	c.taken++
	return c.Source.Int63()
}

// dump describes the whole state of a balancer; fmt prints maps in the order of their keys.
func (b *Balancer) dump() string {
	targets, domains := map[string]targetState{}, map[basillift.FailureDomain]domainState{}
	for instance, s := range b.targets {
		targets[instance] = *s
	}
	for domain, s := range b.domains {
		domains[domain] = *s
	}
	return fmt.Sprintf("%+v %+v %+v", targets, domains, b.routeFactors)
}

// Guards against an explanation that changes later choices: a probe that it starts, a target that it keeps, a random number.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	source := &countingSource{Source: rand.NewSource(1)}
	b, targets := New("near", bladvisory.New(), rand.New(source)), fleetOf(1, 5)
	b.endSilent(begin, targets[0])
	later := begin.Add(maxPause)
	before := b.dump()
	e := b.Explain(later, targets, []string{"i05"}, NewRequest("route", 0, later.Add(300*time.Millisecond)))
	is.Equal(len(e.Candidates()), 5)
	is.Equal(e.LeftOut()[0].Status(), StatusTried)
	is.True(e.Random())
	is.Equal(e.String(), "1 of 1 local and 2 of 4 remote targets are compared, at random; the cheapest gets the request")
	is.Equal(b.dump(), before)
	is.Equal(source.taken, 0)
}

// Guards against an explanation by other rules than the choice: the cheapest candidate must be the one that is chosen.
func TestExplainAgreesWithChoose(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		b, targets := newBalancer(), fleetOf(rnd.Intn(4), 1)
		for _, each := range targets {
			switch rnd.Intn(4) {
			case 0:
				b.reportLoad(each, rnd.Intn(20), rnd.Intn(20), time.Duration(1+rnd.Intn(200))*time.Millisecond)
			case 1:
				b.endSilent(begin, each)
			case 2:
				b.advisories.ObserveReport(begin, each.Endpoint(), basillift.NewAdvisory().WithLeaving())
			}
		}
		e := b.Explain(begin, targets, nil, newRequest(2000))
		chosen, found := b.Choose(begin, targets, nil, newRequest(2000))
		is := is.New(t)
		is.Equal(found, len(e.Candidates()) > 0)
		if found && !e.Random() {
			is.Equal(b.cost(begin, chosen, b.peek(chosen.Endpoint().Instance()), newRequest(2000)), e.Candidates()[0].Cost())
		}
	}
}

// Guards against an explanation without a part of the cost, or with parts that do not add up.
func TestCostParts(t *testing.T) {
	is := is.New(t)
	b, targets := newBalancer(), fleetOf(0, 1)
	b.reportLoad(targets[0], 9, 9, 100*time.Millisecond)
	c := b.Explain(begin, targets, nil, newRequest(2000)).Candidates()[0]
	late, probability := c.Cost().Late()
	is.True(late > 0 && probability > 0 && c.Cost().Utilization() > 0 && c.Cost().Response() > 0)
	is.Equal(c.Cost().Transfer(), 0.02)
	is.Equal(c.Cost().Total(), c.Cost().Failure()+c.Cost().Utilization()+c.Cost().Transfer()+late+c.Cost().Response())
	is.Equal(c.DescribeQueue(), "not known here, 9 requests waited and no slot was free 0s ago")
}
