package bladmit

import (
	"container/heap"
	"time"
)

// entry is a request in the queue or in a slot.
type entry struct {
	request        Request
	flow           *flow
	arrived        time.Time
	started        time.Time
	chargedSeconds float64
	index          int // position in the flow's heap; -1 while it runs
}

// flow holds the requests of one customer in one class.
type flow struct {
	customer        string
	class           *class
	waiting         entryHeap
	running         int
	startTag        float64 // service seconds received, raised to the class's virtual time on becoming backlogged
	backloggedSince time.Time
}

func (f *flow) idle() bool { return len(f.waiting) == 0 && f.running == 0 }

// class is a priority class with its flows. The backlogged flow with the lowest start tag is served next. The virtual
// time of the class is the highest start tag served so far.
type class struct {
	flows       map[string]*flow
	backlogged  []*flow // flows with waiting requests
	waiting     int
	virtualTime float64
}

// flow returns the customer's flow and creates it if there is none.
func (c *class) flow(customer string) *flow {
	f := c.flows[customer]
	if f == nil {
		f = &flow{customer: customer, class: c, startTag: c.virtualTime}
		c.flows[customer] = f
	}
	return f
}

// add inserts an entry into the waiting requests of its flow.
func (c *class) add(now time.Time, e *entry) {
	f := e.flow
	if len(f.waiting) == 0 {
		c.backlogged = append(c.backlogged, f)
		f.backloggedSince = now
		f.startTag = max(f.startTag, c.virtualTime)
	}
	heap.Push(&f.waiting, e)
	c.waiting++
}

// remove removes a waiting entry from its flow.
func (c *class) remove(e *entry) {
	f := e.flow
	heap.Remove(&f.waiting, e.index)
	c.waiting--
	if len(f.waiting) > 0 {
		return
	}
	for i, other := range c.backlogged {
		if other == f {
			c.backlogged[i] = c.backlogged[len(c.backlogged)-1]
			c.backlogged = c.backlogged[:len(c.backlogged)-1]
			break
		}
	}
}

// next returns the first entry of the backlogged flow with the lowest start tag, or nil if no request waits.
func (c *class) next() *entry {
	var first *flow
	for _, f := range c.backlogged {
		if first == nil || f.startTag < first.startTag || f.startTag == first.startTag && f.customer < first.customer {
			first = f
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// longest returns the flow with the most waiting requests, or nil if no request waits.
func (c *class) longest() *flow {
	var longest *flow
	for _, f := range c.backlogged {
		if longest == nil || len(f.waiting) > len(longest.waiting) ||
			len(f.waiting) == len(longest.waiting) && f.customer < longest.customer {
			longest = f
		}
	}
	return longest
}

// evictIdle removes the flows without requests whose start tag does not exceed the virtual time. While no request
// waits, the virtual time first advances to the highest start tag: otherwise the flow of a customer that sends
// only one request would stay forever.
func (c *class) evictIdle() {
	if c.waiting == 0 {
		for _, f := range c.flows {
			c.virtualTime = max(c.virtualTime, f.startTag)
		}
	}
	for name, f := range c.flows {
		if f.idle() && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// entryHeap is a min-heap by deadline. Entries with equal deadlines are ordered by id, which is the order of
// arrival if ids are assigned in ascending order.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, k int) bool {
	a, b := h[i], h[k]
	if !a.request.deadline.Equal(b.request.deadline) {
		return a.request.deadline.Before(b.request.deadline)
	}
	return a.request.id < b.request.id
}

func (h entryHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}

// latest returns the entry with the latest deadline. The heap must not be empty.
func (h entryHeap) latest() *entry {
	latest := h[0]
	for _, e := range h {
		if latest.request.deadline.Before(e.request.deadline) {
			latest = e
		}
	}
	return latest
}
