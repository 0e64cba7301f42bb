// Package basillift holds the value types, the interfaces and the errors that
// all parts of basillift share. The packages below it implement the interfaces;
// the programs only connect them.
//
// # Usage
//
// Code that makes decisions receives a Configuration and a Directory. It never
// uses the network or the clock itself:
//
//	configuration, ok := source.Current()
//	plan, ok := configuration.Plan("kobuleti")
//	targets := directory.Targets("catalogue")
//
// All value types are immutable: their fields are unexported, and methods that
// start with With return a changed copy.
package basillift
