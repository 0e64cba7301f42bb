package blconfig

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

const (
	serviceCount = 70 // the mesh in two years
	planCount    = 40
	neededCount  = 5 // services that one daemon's target is or calls
)

// population makes lists of a given size. Names are pronounceable words of 2 to 4
// syllables, because numbered names compress better than real ones.
type population struct {
	random   *rand.Rand
	services []string
	plans    []basillift.Plan
	popular  *rand.Zipf // a few plans have most of the customers
}

// newPopulation takes the bounds of how many services a plan allows.
func newPopulation(least, most int) *population {
	p := &population{random: rand.New(rand.NewSource(7))}
	for len(p.services) < serviceCount {
		p.services = append(p.services, fmt.Sprintf("%s-%d", p.word(), len(p.services)))
	}
	for i := range planCount {
		allowed := p.needed(least + p.random.Intn(most-least+1))
		p.plans = append(p.plans, basillift.NewPlan(fmt.Sprintf("%s-%d", p.word(), i), allowed, 100*(1+i%9), 10*(1+i%7), ""))
	}
	p.popular = rand.NewZipf(p.random, 1.2, 4, planCount-1)
	return p
}

func (p *population) word() string {
	var text strings.Builder
	for range 2 + p.random.Intn(3) {
		text.WriteByte("bdgklmnprstvz"[p.random.Intn(13)])
		text.WriteByte("aeiou"[p.random.Intn(5)])
		if p.random.Intn(3) == 0 {
			text.WriteByte("lnrs"[p.random.Intn(4)])
		}
	}
	return text.String()
}

// needed returns random services.
func (p *population) needed(count int) []string {
	var names []string
	for _, i := range p.random.Perm(serviceCount)[:count] {
		names = append(names, p.services[i])
	}
	return names
}

func (p *population) plan() string { return p.plans[p.popular.Uint64()].Name() }

func (p *population) customers(count int) map[string]string {
	customers := make(map[string]string, count)
	for len(customers) < count {
		customers[p.word()+"-"+p.word()] = p.plan()
	}
	return customers
}

func (p *population) build(t testing.TB, revision uint64, customers map[string]string) *Snapshot {
	t.Helper()
	list := make([]bllist.Customer, 0, len(customers))
	for c, plan := range customers {
		list = append(list, bllist.NewCustomer(c, plan))
	}
	s, err := Build(basillift.NewVersion(1, revision), bllist.NewLists(1, p.services, p.plans, list))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// moved returns the customers, of which the given number hold another plan than before.
func (p *population) moved(t testing.TB, s *Snapshot, count int) map[string]string {
	t.Helper()
	customers := make(map[string]string, s.Customers())
	list := s.Lists().Customers()
	for _, c := range list {
		customers[c.Name()] = c.Plan()
	}
	for _, i := range p.random.Perm(len(list))[:count] {
		for customers[list[i].Name()] == list[i].Plan() {
			customers[list[i].Name()] = p.plan()
		}
	}
	return customers
}

// only returns the customers whose plans allow at least one of the services.
func only(s *Snapshot, services []string) map[string]string {
	customers := make(map[string]string)
	for c, name := range s.All() {
		for _, n := range services {
			if s.plans[name].Allows(n) {
				customers[c] = name
				break
			}
		}
	}
	return customers
}
