// Package blaudit checks a recorded timeline against the nine promises of
// docs/design.md. It shares no code with the packages that make the decisions, so
// that a defect in a decision is not repeated in its check.
//
// # Usage
//
//	events, err := bltimeline.Read(file)
//	report := blaudit.Check(events)
//	for _, f := range report.Findings() {
//		fmt.Println(f.Promise(), f.Text())
//	}
//
// The events must be merged (bltimeline.Merge). Rules that compare the times of
// different VMs allow for a clock difference of ClockTolerance. A timeline with
// dropped events is reported as incomplete, since a missing event can hide a broken
// promise. Rules that need both ends of a call skip daemons with gaps.
package blaudit
