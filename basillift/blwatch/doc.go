// Package blwatch keeps a daemon current with the registry: it lists everything
// once, then waits for changes, and lists again when the registry has forgotten the
// changes in between.
//
// What to ask next is decided by a WatchState without I/O; a Watcher asks and hands
// what it learns to a Handler. Answers that are older than what is known change
// nothing. In a storm of changes the pauses between two waits make several changes
// arrive as one. After a failure the follower tries again soon and then more
// seldom, with a random share, so that many daemons do not come back at once.
//
// # Usage
//
//	watcher := blwatch.New(registry, sink, rnd)
//	err := watcher.Run(ctx)
package blwatch
