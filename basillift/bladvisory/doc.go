// Package bladvisory keeps what targets say about themselves in their answers. Any answer may bring it, and each decision
// that sends a request asks the one Tracker of its daemon.
//
// A record belongs to one run of a target: it ends when the target starts again. What the daemon beside the target read
// in the target's own answers takes precedence over what other daemons report.
//
// # Usage
//
//	tracker := bladvisory.New()
//	tracker.Observe(now, endpoint, advisory)         // an answer of the VM's own target
//	tracker.ObserveReport(now, endpoint, advisory)   // a load report, or a request of another daemon
//	if perSecond, limited := tracker.Limit(now, endpoint); limited {
//		// The target accepts perSecond requests per second from all VMs together.
//	}
//	if since, leaving := tracker.Leaving(endpoint); leaving {
//		// The target has been leaving since then.
//	}
package bladvisory
