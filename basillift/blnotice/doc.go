// Package blnotice tells operators what needs a human, once for each matter.
//
// Every daemon observes conditions. A condition that holds for OpenAfter is
// reported to the notifier: the alive member with the lowest hash, which all
// daemons that see each other work out alike. The notifier sends one notice when
// a matter opens and one when it closes. Its answer to a report says that the
// notice was sent; the observer repeats this to a later notifier, so that a
// successor does not send it again.
//
// # Usage
//
//	observer := blnotice.NewObserver()
//	for _, r := range observer.Observe(now, conditions) {
//		send(blnotice.Notifier(directory), r)
//	}
//	notice, due := tracker.Report(now, r)
//
// Each side of a partition has its own notifier. Both send the same id for the
// same matter, so that the receiver can join them.
package blnotice

//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p blnotice -o ../basillift/blnotice/message_gen.go ../schema/notice.json ../schema/condition.json ../schema/acknowledgement.json"
