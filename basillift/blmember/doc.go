// Package blmember keeps the membership of the mesh: the records that daemons write
// about themselves, and what the others believe of their liveness. Nothing here does
// I/O, reads a clock or starts a goroutine.
//
// A record with a higher incarnation and sequence replaces a lower one, and only the
// member itself creates records. Others can only make claims about one incarnation:
// suspect and dead from probes, leaving, staying and dropped from the platform's VM
// list. A member that hears a claim against itself answers with a higher incarnation.
//
// # Usage
//
// A control loop keeps one State, feeds it what it observes, carries out the actions
// and publishes the view:
//
//	state := blmember.NewState(now, self, random)
//	for _, a := range state.Apply(now, blmember.Tick()) {
//		perform(a)
//	}
//	publisher.Publish(state.View())
//
// A ViewPublisher implements basillift.Directory for readers in other goroutines.
package blmember
