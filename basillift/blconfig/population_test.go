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
	serviceCount = 70 // expected number of services in two years
	planCount    = 40
	neededCount  = 5 // services that one target provides or calls
)

// population generates random lists of a given size. Names are pronounceable words
// of 2 to 4 syllables, because numbered names compress better than real ones.
type population struct {
	random         *rand.Rand
	services       []string
	plans          []basillift.Plan
	planPopularity *rand.Zipf // index of a plan; a few plans have most customers
}

// newPopulation returns a population whose plans allow between minServices and
// maxServices services each. Its random source has a fixed seed.
func newPopulation(minServices, maxServices int) *population {
	p := &population{random: rand.New(rand.NewSource(7))}
	for len(p.services) < serviceCount {
		p.services = append(p.services, fmt.Sprintf("%s-%d", p.word(), len(p.services)))
	}
	for i := range planCount {
		allowed := p.randomServices(minServices + p.random.Intn(maxServices-minServices+1))
		p.plans = append(p.plans, basillift.NewPlan(fmt.Sprintf("%s-%d", p.word(), i), allowed, 100*(1+i%9), 10*(1+i%7), ""))
	}
	p.planPopularity = rand.NewZipf(p.random, 1.2, 4, planCount-1)
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

// randomServices returns the names of the given number of distinct random services.
func (p *population) randomServices(count int) []string {
	var names []string
	for _, i := range p.random.Perm(serviceCount)[:count] {
		names = append(names, p.services[i])
	}
	return names
}

func (p *population) plan() string { return p.plans[p.planPopularity.Uint64()].Name() }

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

// withChangedPlans returns the customers of s, with another plan for the given number of them.
func (p *population) withChangedPlans(t testing.TB, s *Snapshot, count int) map[string]string {
	t.Helper()
	customers := make(map[string]string, s.CustomerCount())
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

// customersAllowedAny returns the customers whose plan allows at least one of the services.
func customersAllowedAny(s *Snapshot, services []string) map[string]string {
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
