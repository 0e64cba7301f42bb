// Package blidempotency prevents a request with an idempotency key from running
// twice. The package has no clock and no locks: the current time is an argument, and
// the owner of a ClaimStore or an OwnerSelector serializes access to it.
//
// Before a call with a key is sent, the first caller's daemon claims the key at its 3
// owner daemons. The ClaimStore of each owner grants a key once. The call runs only
// with at least 2 of 3 grants. After the call, Settle stores its answer at the owners.
// A call that certainly did not run releases its claims instead.
//
// # Usage
//
//	key := blidempotency.NewKey(customer, service, header)
//	owners := selector.Owners(key)
//	replies := ask(owners.All(), key, call) // each owner: store.Claim(now, key, call)
//	decision := blidempotency.Decide(now, claimedAt, owners, replies)
//	switch decision.Kind() {
//	case blidempotency.DecisionRun: // send the call, then Settle at all owners
//	case blidempotency.DecisionReplay:
//		// return decision.Answer(); Settle it at the owners that granted the key to this call
//	case blidempotency.DecisionConflict: // 409; Settle with NotRun
//	case blidempotency.DecisionNotRun, blidempotency.DecisionUnknown: // refuse; Settle with NotRun
//	}
//
// The claiming daemon must generate a new call id for each request that it accepts.
// If it used an id from the caller, two requests could share one grant.
//
// # When a second run is possible
//
// Two runs of a key need two quorums of 2 grants each. Within one set of 3 owners, two
// quorums share an owner, which would have to grant the key twice. A ClaimStore grants
// a key a second time only in these cases:
//
//   - The claim was released. The call of the first claimer then never runs.
//   - The owner lost its claims in a restart. The key was created before the start, so
//     the owner refuses it with GrantCold: by the owner's clock, a granted key was
//     created at most maxClockSkew (10 s) after the grant, and a restarted owner grants
//     only keys that were created more than restartMargin (30 s) after its start. This
//     fails only if the owner's clock goes back by more than 20 s over the restart.
//   - The claim expired after 10 min. A UUIDv7 key is then too old to be granted by any
//     owner. An opaque key contains no creation time, so its protection ends here: a
//     retry more than 10 min after the first claim runs again. So may a retry while
//     a claimer was paused for 10 min between its claim and its call. Decide refuses to
//     run a call on replies older than 10 s, which leaves only a pause between Decide
//     and the write to the socket.
//
// This holds for any number of owner crashes and restarts and for lost, late,
// duplicate or reordered messages. It also holds in a partition: at most one side
// reaches 2 of 3 owners, and the other side gets unknown.
//
// The remaining risk is that two daemons use different owner sets. When member 4
// joins, it may replace owner 3 of {1,2,3} for a daemon that knows it, and the quorums
// {2,3} and {1,4} share no owner. An OwnerSelector prevents this:
//
//   - A member that joins is not an owner for 30 s and is then in transition for 30 s:
//     a claim then needs 2 of 3 grants both in the set without the member and in the
//     set with it. A dropped member leaves in the same way. A daemon for which the
//     member is in transition therefore shares a set with a daemon in the phase before
//     or after.
//   - Both times count only while the daemon considers all other members alive. In a
//     partition, both sides therefore keep the last common owners, however long the
//     partition lasts and whichever members join.
//
// These conditions remain. Members that consider each other alive must learn of a join
// or a death within 30 s; probes exchange digests each second, so this takes a few
// seconds. The platform's list must not drop a VM that still runs while membership
// considers it dead. A daemon that starts must take its first members from a peer's
// selector (Snapshot, NewOwnerSelector) rather than from the member list, unless no
// member joined in the last minute. With the function Owners instead of an
// OwnerSelector, the conditions are that no member joins or is dropped on one side of a
// partition, and that all claimers know of a join within 30 s.
//
// # Limits
//
// A ClaimStore holds 65,536 keys for 10 min, which is 109 keyed calls/s for each owner
// daemon. A full ClaimStore never evicts a claim but refuses new keys. Two owners that
// are full or grant the key prove that no other claim has a quorum, so the call is
// refused as "not run". Answers above 8 KB are not stored. No answer is stored while
// the ClaimStore holds 64 MB of them, since 65,536 answers of 8 KB would be 512 MB,
// twice the memory of a daemon. A retry of a call without a stored answer gets unknown.
package blidempotency
