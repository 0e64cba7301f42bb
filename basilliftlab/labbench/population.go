package labbench

import (
	"fmt"
	"math/rand"
	"strings"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

const (
	serviceCount = 70
	planCount    = 40
	// maxValueBytes limits the parts into which the lists are split. It is far below the
	// platform's limit of 1 MB, as the operators' page advises. A reader then transfers only the
	// part that contains a change, because conditional reads skip the others.
	maxValueBytes = 128_000
)

// population is the content of both lists, generated from a seed. Names consist of random
// syllables, because numbered names compress better than real ones.
type population struct {
	random        *rand.Rand
	services      []string
	plans         []basillift.Plan
	customers     []bllist.Customer
	writtenValues map[string]string
}

func newPopulation(seed int64, customers int) *population {
	p := &population{random: rand.New(rand.NewSource(seed)), writtenValues: map[string]string{}}
	for i := range serviceCount {
		p.services = append(p.services, fmt.Sprintf("%s-%d", p.randomWord(), i))
	}
	for i := range planCount {
		p.plans = append(p.plans, basillift.NewPlan(fmt.Sprintf("%s-%d", p.randomWord(), i), p.randomServices(2+i%5), 100*(1+i%9), 10*(1+i%7), ""))
	}
	planIndex := rand.NewZipf(p.random, 1.2, 4, planCount-1)
	for i := range customers {
		name := fmt.Sprintf("%s%s-%d", p.randomWord(), p.randomWord(), i)
		p.customers = append(p.customers, bllist.NewCustomer(name, p.plans[planIndex.Uint64()].Name()))
	}
	return p
}

func (p *population) randomWord() string {
	var text strings.Builder
	for range 2 + p.random.Intn(2) {
		text.WriteByte("bdgklmnprstvz"[p.random.Intn(13)])
		text.WriteByte("aeiou"[p.random.Intn(5)])
	}
	return text.String()
}

func (p *population) randomServices(count int) []string {
	var names []string
	for _, i := range p.random.Perm(serviceCount)[:count] {
		names = append(names, p.services[i])
	}
	return names
}

// moveCustomers gives a number of random customers another plan.
func (p *population) moveCustomers(count int) {
	for range count {
		i := p.random.Intn(len(p.customers))
		c := p.customers[i]
		plan := p.plans[p.random.Intn(planCount)].Name()
		for plan == c.Plan() {
			plan = p.plans[p.random.Intn(planCount)].Name()
		}
		p.customers[i] = bllist.NewCustomer(c.Name(), plan)
	}
}

// replaceServices gives a random plan a new random set of services.
func (p *population) replaceServices() {
	i := p.random.Intn(planCount)
	old := p.plans[i]
	p.plans[i] = basillift.NewPlan(old.Name(), p.randomServices(2+p.random.Intn(5)), old.Rate(), old.Concurrency(), old.Class())
}

// changedEntries returns the values that differ from those that it returned before, in the
// order in which they must be written.
func (p *population) changedEntries() ([]bllist.Entry, error) {
	all, err := bllist.Split(bllist.NewLists(1, p.services, p.plans, p.customers), maxValueBytes)
	if err != nil {
		return nil, fmt.Errorf("split lists: %w", err)
	}
	var changed []bllist.Entry
	for _, e := range all {
		if p.writtenValues[e.Key()] != string(e.Data()) {
			p.writtenValues[e.Key()] = string(e.Data())
			changed = append(changed, e)
		}
	}
	return changed, nil
}
