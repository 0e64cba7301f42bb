// Package blbalance chooses the target for a request among the targets of a service, based on their load reports.
//
// Each answer carries a load report of its target. Between two reports, the balancer adds the requests that it has
// sent itself. The cost of a target is the share of the request's value that is expected to be lost there: by an
// answer after the soft deadline, by a failure, and by the price of the bytes to another failure domain. A slower
// local target is preferred as long as it is likely to meet the soft deadline.
//
// For each request, a few local and remote targets are sampled at random and the cheapest of them is used, so that
// daemons with the same reports do not all choose the same target. A target that cannot be reached or stays silent
// is paused with exponential backoff. A whole failure domain is paused when two of its targets stay silent in a row.
//
// # Usage
//
//	target, found := balancer.Choose(now, targets, tried, request)
//	balancer.Started(now, target)
//	balancer.Ended(now, target, request, blbalance.ResultAnswered, took, load)
package blbalance
