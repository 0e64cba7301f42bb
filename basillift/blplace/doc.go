// Package blplace chooses the target for a request among those of a service, by
// what the daemons beside the targets said last of their load.
//
// Each answer carries the load of its target. Between two answers the chooser adds
// what it sent itself. A target is as good as the time that a request is expected
// to spend there: waiting, running and on the way; a target in another failure
// domain has a surcharge, since bytes between failure domains are paid for. Two near and one
// far target are drawn by lot and the best of them taken, so that
// daemons with the same news do not all choose the same target. A target that
// cannot be reached or breaks is left out for a time that doubles.
//
// # Usage
//
//	target, found := placer.Choose(now, targets, tried, bytes)
//	placer.Started(now, target)
//	placer.Ended(now, target, blplace.ResultAnswered, load)
package blplace
