// Package blmember implements the membership of the mesh and its failure detection. It
// holds the record that each daemon publishes about itself and the liveness that the
// other daemons assign to it. The package does no I/O, reads no clock and starts no
// goroutine.
//
// A record with a higher incarnation and sequence replaces a lower one, and only the
// member itself creates records. Other daemons can only make assertions about one
// incarnation: suspect and dead follow from probes; leaving, staying and dropped follow
// from the platform's VM list. A member that receives an assertion that it is suspect or
// dead refutes it by publishing its record with a higher incarnation.
//
// # Usage
//
// A control loop owns one State, passes events to it, performs the returned actions
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
