package bladmit

import (
	"container/heap"
	"time"
)

// entry is a request in the queue or in a slot.
type entry struct {
	request Request
	flow    *flow
	arrived time.Time
	started time.Time
	charged float64
	index   int // position in the flow's heap; -1 while it runs
}

// flow is one customer's calls of one class.
type flow struct {
	customer  string
	class     *class
	waiting   entries
	running   int
	tag       float64 // slot seconds had so far, not below the class's virtual time when it became active
	busySince time.Time
}

func (f *flow) idle() bool { return len(f.waiting) == 0 && f.running == 0 }

// class is a priority class: its flows and how far its fair sharing has got.
type class struct {
	flows   map[string]*flow
	active  []*flow // flows with waiting calls
	waiting int
	virtual float64
}

// flow returns the customer's flow.
func (c *class) flow(customer string) *flow {
	f := c.flows[customer]
	if f == nil {
		f = &flow{customer: customer, class: c, tag: c.virtual}
		c.flows[customer] = f
	}
	return f
}

// add queues an entry in its flow.
func (c *class) add(now time.Time, e *entry) {
	f := e.flow
	if len(f.waiting) == 0 {
		c.active = append(c.active, f)
		f.busySince = now
		f.tag = max(f.tag, c.virtual)
	}
	heap.Push(&f.waiting, e)
	c.waiting++
}

// remove takes a waiting entry out of its flow.
func (c *class) remove(e *entry) {
	f := e.flow
	heap.Remove(&f.waiting, e.index)
	c.waiting--
	if len(f.waiting) > 0 {
		return
	}
	for i, o := range c.active {
		if o == f {
			c.active[i] = c.active[len(c.active)-1]
			c.active = c.active[:len(c.active)-1]
			break
		}
	}
}

// next returns the first entry of the flow that had the least slot time.
func (c *class) next() *entry {
	var least *flow
	for _, f := range c.active {
		if least == nil || f.tag < least.tag || f.tag == least.tag && f.customer < least.customer {
			least = f
		}
	}
	if least == nil {
		return nil
	}
	return least.waiting[0]
}

// longest returns the flow with the most waiting calls.
func (c *class) longest() *flow {
	var longest *flow
	for _, f := range c.active {
		if longest == nil || len(f.waiting) > len(longest.waiting) ||
			len(f.waiting) == len(longest.waiting) && f.customer < longest.customer {
			longest = f
		}
	}
	return longest
}

// forget drops flows that hold nothing and have no debt. While nobody waits, all
// debts are settled: without this, customers that call once would stay for good.
func (c *class) forget() {
	if c.waiting == 0 {
		for _, f := range c.flows {
			c.virtual = max(c.virtual, f.tag)
		}
	}
	for name, f := range c.flows {
		if f.idle() && f.tag <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// entries is a heap by deadline; equal deadlines are ordered by arrival.
type entries []*entry

func (s entries) Len() int { return len(s) }

func (s entries) Less(i, k int) bool {
	a, b := s[i], s[k]
	if !a.request.deadline.Equal(b.request.deadline) {
		return a.request.deadline.Before(b.request.deadline)
	}
	return a.request.id < b.request.id
}

func (s entries) Swap(i, k int) {
	s[i], s[k] = s[k], s[i]
	s[i].index, s[k].index = i, k
}

func (s *entries) Push(x any) {
	e := x.(*entry)
	e.index = len(*s)
	*s = append(*s, e)
}

func (s *entries) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	e.index = -1
	return e
}

// last returns the entry with the latest deadline.
func (s entries) last() *entry {
	last := s[0]
	for _, e := range s {
		if last.request.deadline.Before(e.request.deadline) {
			last = e
		}
	}
	return last
}
