// Package bltimeline records the timeline of a daemon, merges the timelines of
// several daemons, and writes them as text, JSON lines or the trace-event format
// of browsers' trace viewers.
//
// # Usage
//
// A daemon records into a Log and serves its entries:
//
//	log := bltimeline.NewLog(self.ID(), self.Incarnation(), bltimeline.DefaultSize)
//	log.Record(basillift.NewEvent(now, basillift.EventStarted))
//	events, dropped := log.Events()
//
// The operators' client merges and writes timelines:
//
//	all := bltimeline.Merge(first, second)
//	err := bltimeline.Write(os.Stdout, bltimeline.FormatText, all)
//
// Merged events are ordered by the clocks of their VMs. Two events of different VMs
// can be in the wrong order if the time between them is less than the clock skew.
// The events of one daemon are always in the order in which they occurred.
package bltimeline

//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p bltimeline -o ../basillift/bltimeline/entry_gen.go ../schema/timeline.json"
