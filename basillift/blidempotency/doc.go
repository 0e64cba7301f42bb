// Package blidempotency keeps a request with an idempotency key from running twice.
// Everything here is a deciding function: the present time is an argument, and the
// owner locks around a ClaimStore or an OwnerSelector.
//
// Before a call with a key is sent, the first caller's daemon claims the key at
// the 3 owners of the key. Each owner's ClaimStore grants a key once. The call runs only
// with 2 grants of 3. After the call, Settle stores its answer at the owners; a
// call that certainly did not run gives its claims back instead.
//
// # Usage
//
//	key := blidempotency.NewKey(customer, service, header)
//	owners := selector.Owners(key)
//	replies := ask(owners.All(), key, call) // each owner: store.Claim(now, key, call)
//	decision := blidempotency.Decide(now, asked, owners, replies)
//	switch decision.Kind() {
//	case blidempotency.DecisionRun: // send the call, then Settle at all owners
//	case blidempotency.DecisionRepeat: // answer decision.Answer(), Settle it where this call was granted
//	case blidempotency.DecisionConflict: // 409; Settle with NotRun
//	case blidempotency.DecisionNotRun, blidempotency.DecisionUnknown: // refuse; Settle with NotRun
//	}
//
// The call that claims must be a fresh id for each request that a daemon accepts.
// A call id that the caller supplies could make two requests share one grant.
//
// # Why a second run is impossible, and when it isn't
//
// Two runs of a key need two quorums of 2 grants. Within one set of 3 owners two
// quorums share an owner, and that owner would have to grant twice. A ClaimStore grants
// a key a second time only after:
//
//   - its claim was given back: the first claimer then never runs;
//   - it restarted and forgot: the key was created before the start, so the cold
//     rule refuses it. A key that was granted was created at most futureLimit
//     (10 s) after the grant by the owner's clock, and a restarted owner grants only
//     keys created more than coldAfter (30 s) after its start. The rule fails only
//     if the owner's clock goes back by more than 20 s over the restart;
//   - it forgot the key after 10 min: a UUIDv7 key is then too old to be granted
//     by any owner, whatever happened. An opaque key carries no creation time, and
//     its protection ends here: a repeat more than 10 min after the first claim
//     runs again, and so may one that meets a claimer that was paused between its
//     claim and its call for 10 min. Decide refuses to run on replies older than
//     10 s, which leaves only a pause between Decide and the write to the socket.
//
// No number of owner crashes, restarts, lost, late, repeated or reordered messages
// changes this, and neither does a partition: at most one side reaches 2 of 3
// owners, and the other side gets unknown.
//
// Owner sets that differ are the remaining danger. When a member joins, it may
// replace owner 3 of {1,2,3} for a daemon that knows it, and the quorums {2,3} and
// {1,4} share no owner. An OwnerSelector closes this gap:
//
//   - A member that joins is not an owner for 30 s, then is joint for 30 s: a
//     claim then needs 2 of 3 grants in the set without it and in the set with it.
//     A dropped member leaves in the same way. A daemon in either neighbouring phase shares
//     one set with a joint one.
//   - Both times count only while the daemon believes that every other member of the
//     roster is alive. In a partition the rosters of both sides are therefore
//     frozen at the last common one, however long it takes and whoever joins.
//
// The conditions that remain: members that believe each other alive learn of a
// join or of a death within 30 s (probes exchange digests each second, so that this
// takes a few seconds); the platform's list does not drop a VM that still runs
// while membership believes it dead; and a daemon that starts takes its first
// roster from a peer (Snapshot, NewOwnerSelector) rather than from the member list, unless
// no member joined in the last minute. With the plain function Owners in place of
// an OwnerSelector, the conditions are that no member joins or is dropped on one side of a
// partition, and that all claimers know of a join within 30 s.
//
// # Bounds
//
// A ClaimStore holds 65,536 keys for 10 min, which is 109 keyed calls/s for each owner
// daemon. A full ClaimStore never forgets a claim: it refuses new keys. Since two full
// or granting owners prove that no other claim has a quorum, that call is refused
// as "not run". Answers above 8 KB are not stored, nor are any while the ClaimStore
// holds 64 MB of them (65,536 answers of 8 KB would be 512 MB, twice the memory
// of a daemon); a repeat of those gets unknown.
package blidempotency
