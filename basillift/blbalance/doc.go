// Package blbalance chooses the target for a request among those of a service, by
// what the daemons beside the targets said last of their load.
//
// Each answer carries the load of its target. Between two answers the chooser adds
// what it sent itself. The cost of a target is the share of its worth that the request is
// expected to lose there: by an answer after its goal, by a failure, and by the bytes
// to another failure domain, which are paid for. A slower near target is good enough while the goal
// is safe. A few near and far targets are drawn by lot and the best of them taken, so that
// daemons with the same news do not all choose the same target. A target that
// cannot be reached or stays silent is left out for a time that doubles; so is a whole failure
// domain when two of its targets stay silent in a row.
//
// # Usage
//
//	target, found := balancer.Choose(now, targets, tried, ask)
//	balancer.Started(now, target)
//	balancer.Ended(now, target, ask, blbalance.ResultAnswered, took, load)
package blbalance
