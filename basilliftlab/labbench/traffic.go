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

// traffic holds the bytes that one daemon has sent and received at its control sockets, by
// purpose.
type traffic struct {
	sent     map[basillift.Purpose]float64
	received map[basillift.Purpose]float64
}

func newTraffic(c *blrpc.Counters) traffic {
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

// sum returns the bytes of the given purposes in both directions.
func (t traffic) sum(list ...basillift.Purpose) float64 {
	bytes := 0.0
	for _, p := range list {
		bytes += t.sent[p] + t.received[p]
	}
	return bytes
}

func differences(after, before []traffic) []traffic {
	list := make([]traffic, len(after))
	for i := range after {
		list[i] = after[i].minus(before[i])
	}
	return list
}

// meanOf returns the mean over all daemons of the value that pick returns for each.
func meanOf(list []traffic, pick func(t traffic) float64) float64 {
	sum := 0.0
	for _, t := range list {
		sum += pick(t)
	}
	return sum / float64(len(list))
}

// maxOf returns the largest value over all daemons that pick returns for each.
func maxOf(list []traffic, pick func(t traffic) float64) float64 {
	largest := 0.0
	for _, t := range list {
		largest = max(largest, pick(t))
	}
	return largest
}

// receivedConfiguration returns the bytes of configuration that a daemon received, repairs
// included.
func receivedConfiguration(t traffic) float64 {
	return t.received[basillift.PurposeConfiguration] + t.received[basillift.PurposeRepair]
}

// totalBytes returns the bytes of all purposes in both directions.
func totalBytes(t traffic) float64 { return t.sum(purposes()...) }
