// Package blnotice sends alerts to operators: one notice when an alert opens and one when
// it closes.
//
// Every daemon observes conditions. A condition that holds for OpenDelay is
// reported to the notifier: the member with the lowest hash among those that are
// not dead. All daemons with the same view choose the same notifier. Its answer to
// a report says whether the notice was sent. The observer includes this in its
// later reports, so that a new notifier does not send the notice again.
//
// # Usage
//
//	observer := blnotice.NewObserver()
//	for _, r := range observer.Observe(now, conditions) {
//		send(blnotice.Notifier(directory.Members()), r)
//	}
//	notice, due := tracker.Report(now, r)
//
// Each side of a network partition has its own notifier. Both send the same id for
// the same alert, so that the receiver can deduplicate the notices.
package blnotice

//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p blnotice -o ../basillift/blnotice/message_gen.go ../schema/notice.json ../schema/condition.json ../schema/acknowledgement.json"
