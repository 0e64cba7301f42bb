// Package blfollow keeps a daemon current with the registry: it lists everything
// once, then waits for changes, and lists again when the registry has forgotten the
// changes in between.
//
// What to ask next is decided by a State without I/O; a Follower asks and hands
// what it learns to a Sink. Answers that are older than what is known change
// nothing. In a storm of changes the pauses between two waits make several changes
// arrive as one. After a failure the follower tries again soon and then more
// seldom, with a random share, so that many daemons do not come back at once.
//
// # Usage
//
//	follower := blfollow.New(registry, sink, rnd)
//	err := follower.Run(ctx)
package blfollow
