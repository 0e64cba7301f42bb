package labbench

import (
	"basillift.dev/basillift"
	"basillift.dev/basillift/blrpc"
)

func purposes() []basillift.Purpose {
	return []basillift.Purpose{
		basillift.PurposeConfiguration, basillift.PurposeMembership, basillift.PurposeTarget, basillift.PurposeRepair,
	}
}

// traffic is the bytes of one daemon at its control sockets, by purpose.
type traffic struct {
	sent     map[basillift.Purpose]float64
	received map[basillift.Purpose]float64
}

func trafficOf(c *blrpc.Counters) traffic {
	t := traffic{sent: map[basillift.Purpose]float64{}, received: map[basillift.Purpose]float64{}}
	for _, p := range purposes() {
		t.sent[p], t.received[p] = float64(c.Sent(p)), float64(c.Received(p))
	}
	return t
}

func (t traffic) minus(o traffic) traffic {
	d := traffic{sent: map[basillift.Purpose]float64{}, received: map[basillift.Purpose]float64{}}
	for _, p := range purposes() {
		d.sent[p], d.received[p] = t.sent[p]-o.sent[p], t.received[p]-o.received[p]
	}
	return d
}

// both is the sum of both directions over the given purposes.
func (t traffic) both(list ...basillift.Purpose) float64 {
	sum := 0.0
	for _, p := range list {
		sum += t.sent[p] + t.received[p]
	}
	return sum
}

func differences(after, before []traffic) []traffic {
	list := make([]traffic, len(after))
	for i := range after {
		list[i] = after[i].minus(before[i])
	}
	return list
}

// mean returns the mean over daemons of what pick takes from each.
func mean(list []traffic, pick func(t traffic) float64) float64 {
	sum := 0.0
	for _, t := range list {
		sum += pick(t)
	}
	return sum / float64(len(list))
}

// most returns the largest value over daemons of what pick takes from each.
func most(list []traffic, pick func(t traffic) float64) float64 {
	largest := 0.0
	for _, t := range list {
		largest = max(largest, pick(t))
	}
	return largest
}

// received are the bytes of configuration that a daemon took, repairs included.
func received(t traffic) float64 {
	return t.received[basillift.PurposeConfiguration] + t.received[basillift.PurposeRepair]
}

// total is the bytes of all purposes in both directions.
func total(t traffic) float64 { return t.both(purposes()...) }
