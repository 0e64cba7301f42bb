// Package bllog writes the daemon's log: zerolog lines, each with the number of
// an entry of the catalogue in docs/events.md, so that an operator can look up
// what a line means and what to do.
//
// # Usage
//
//	log, err := bllog.New(os.Stderr, "info", "vm1")
//	log.Event(bllog.Started()).Str("version", v).Send()
//	log.Failure(bllog.StartFailed(), err)
package bllog
