// Package blwatch keeps a daemon current with the registry: it lists all entries
// once, then waits for changes, and lists again when the registry has compacted the
// changes in between, or was restored from a copy that lacks some of them.
//
// A WatchState, which does no I/O, decides which request to send next. A Watcher sends the
// requests and passes the results to a Handler. Answers that are older than the data already
// received are ignored. During a burst of changes, a pause between two waits lets several
// changes arrive in one answer. Failed requests are retried with exponential backoff; half of
// each pause is random, so that many daemons do not retry at the same time.
//
// # Usage
//
//	watcher := blwatch.New(registry, handler, rnd)
//	err := watcher.Run(ctx)
package blwatch
