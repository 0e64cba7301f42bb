// Package bltimeline keeps the timeline of one daemon, merges the timelines of
// many, and writes them as text, JSON lines or the trace-event format that
// browsers' trace viewers load.
//
// # Usage
//
// A daemon records into a Log and serves its entries:
//
//	log := bltimeline.NewLog(self.ID(), self.Incarnation(), bltimeline.DefaultSize)
//	log.Record(basillift.NewEvent(now, basillift.EventStarted))
//	events, dropped := log.Events()
//
// The operators' client merges and writes them:
//
//	all := bltimeline.Merge(first, second)
//	err := bltimeline.Write(os.Stdout, bltimeline.FormatText, all)
//
// Entries are ordered by the clocks of their VMs, so two events of different VMs
// that are closer than the clocks' difference may stand in the wrong order. The
// events of one daemon always stand in the order in which they happened.
package bltimeline

//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p bltimeline -o ../basillift/bltimeline/entry_gen.go ../schema/timeline.json"
