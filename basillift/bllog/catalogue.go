package bllog

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"basillift.dev/basillift"
)

// Entry is one numbered log event. Numbers are never reused.
type Entry struct {
	number int
	level  zerolog.Level
	text   string
	action string
}

// Number is the value of the field event in a log line and identifies the entry in docs/events.md.
func (e Entry) Number() int { return e.number }

// Catalogue returns the entries that docs/events.md lists, in the order of their numbers.
func Catalogue() []Entry {
	return []Entry{
		Started(), Stopping(), Stopped(), StartFailed(), StopTimedOut(), ListenFailed(), SettingsChanged(), SettingsRefused(),
		VersionApplied(), VersionRefused(), PlatformFailed(), RevisionsWentBack(), PlatformReturned(), ReaderChanged(), WaitFailed(), PlatformListed(), PlatformRestored(), EvacuationBegun(), EvacuationEnded(), EvacuationUnreadable(),
		MemberDied(), Paused(), TargetChanged(), TargetLimited(), TargetLeaving(), TargetCrashed(), TargetCold(), TargetWarm(), NoticeFailed(), NoticeSent(), LoopFailed(), RequestEnded(), LinesOmitted(), RequestQuarantined(), AnswerInvalid(),
	}
}

// Started is logged once the daemon listens.
func Started() Entry { return Entry{100, zerolog.InfoLevel, "daemon started", "none"} }

// Stopping is logged when a graceful shutdown begins.
func Stopping() Entry { return Entry{101, zerolog.InfoLevel, "daemon stopping", "none"} }

// Stopped is logged when a graceful shutdown has ended.
func Stopped() Entry { return Entry{102, zerolog.InfoLevel, "daemon stopped", "none"} }

// StartFailed is logged when the daemon cannot start.
func StartFailed() Entry {
	return Entry{103, zerolog.ErrorLevel, "start failed", "mend what the error names, then start again"}
}

// StopTimedOut is logged when a graceful shutdown ended before all calls had ended.
func StopTimedOut() Entry {
	return Entry{104, zerolog.WarnLevel, "stop ended with calls in flight", "raise the setting drain if calls run longer"}
}

// ListenFailed is logged when the daemon cannot listen on one of its addresses.
func ListenFailed() Entry {
	return Entry{105, zerolog.ErrorLevel, "listener failed", "check the address in the settings"}
}

// SettingsChanged is logged when a changed settings file is in force.
func SettingsChanged() Entry { return Entry{106, zerolog.InfoLevel, "settings changed", "none"} }

// SettingsRefused is logged when a changed settings file is invalid.
func SettingsRefused() Entry {
	return Entry{107, zerolog.WarnLevel, "settings refused, the old ones stay", "mend the field that the line names"}
}

// VersionApplied is logged when a configuration comes into force.
func VersionApplied() Entry { return Entry{200, zerolog.InfoLevel, "configuration in force", "none"} }

// VersionRefused is logged when a published configuration is refused.
func VersionRefused() Entry {
	return Entry{201, zerolog.WarnLevel, "configuration refused", "mend the key and field that the line names and publish again"}
}

// PlatformFailed is logged when the platform becomes unreachable.
func PlatformFailed() Entry {
	return Entry{202, zerolog.WarnLevel, "platform unreachable", "none at first; the version in force stays"}
}

// RevisionsWentBack is logged when the platform's revisions are lower than those already seen.
func RevisionsWentBack() Entry {
	return Entry{203, zerolog.WarnLevel, "platform numbering went back", "raise epoch in one of the lists and publish it"}
}

// PlatformReturned is logged when the platform answers again.
func PlatformReturned() Entry { return Entry{204, zerolog.InfoLevel, "platform answers again", "none"} }

// ReaderChanged is logged when the daemon begins to follow another daemon as its reader, changes to a different one, or
// follows none any more and reads the platform itself.
func ReaderChanged() Entry {
	return Entry{205, zerolog.InfoLevel, "reader of the platform changed", "none; if the line names no daemon, this daemon reads the platform itself"}
}

// WaitFailed is logged when a request for changes of the registry ended without an answer while the platform counted as
// reachable.
func WaitFailed() Entry {
	return Entry{206, zerolog.InfoLevel, "request for changes ended without an answer", "none; if it recurs, check the connections to the platform"}
}

// PlatformListed is logged when the daemon has read everything that the platform holds.
func PlatformListed() Entry {
	return Entry{207, zerolog.InfoLevel, "platform was listed", "none; if it recurs without a failure before it, report the lines"}
}

// PlatformRestored is logged when the platform came back from a copy, without its last changes.
func PlatformRestored() Entry {
	return Entry{208, zerolog.WarnLevel, "platform was restored from a copy", "publish the last version again; see docs/OPERATIONS.md"}
}

// EvacuationBegun is logged when the daemon learns that a failure domain is evacuated.
func EvacuationBegun() Entry {
	return Entry{209, zerolog.WarnLevel, "failure domain is evacuated", "remove the key when its targets may be used again; see docs/OPERATIONS.md"}
}

// EvacuationEnded is logged when the daemon learns that the evacuation of a failure domain has ended.
func EvacuationEnded() Entry {
	return Entry{210, zerolog.InfoLevel, "evacuation of a failure domain ended", "none"}
}

// EvacuationUnreadable is logged when the key of an evacuation has an unreadable value.
func EvacuationUnreadable() Entry {
	return Entry{211, zerolog.WarnLevel, "evacuation key has an unreadable value", "write {} to the key, or remove it; it evacuates until it is removed"}
}

// MemberDied is logged when a member is declared dead.
func MemberDied() Entry { return Entry{300, zerolog.InfoLevel, "member died", "none"} }

// Paused is logged when the daemon detects that it did not run for a while.
func Paused() Entry {
	return Entry{301, zerolog.WarnLevel, "daemon was paused", "check the VM if it happens often"}
}

// TargetChanged is logged when the state of the VM's target changes.
func TargetChanged() Entry { return Entry{400, zerolog.InfoLevel, "target state changed", "none"} }

// TargetLimited is logged when the VM's target begins or stops to limit the requests that it accepts, or changes the limit by
// a tenth or more.
func TargetLimited() Entry {
	return Entry{401, zerolog.InfoLevel, "target changed its request limit", "find out why the target is short of resources if the limit stays"}
}

// TargetLeaving is logged when the VM's target says in an answer that it is leaving.
func TargetLeaving() Entry { return Entry{402, zerolog.InfoLevel, "target is leaving", "none"} }

// TargetCrashed is logged when the VM's target broke off requests and refuses new connections.
func TargetCrashed() Entry {
	return Entry{403, zerolog.WarnLevel, "target crashed while it ran requests", "none if the target was stopped on purpose; otherwise look at its own log"}
}

// TargetCold is logged when the VM's target begins to get fewer requests because it is or may be cold.
func TargetCold() Entry {
	return Entry{410, zerolog.InfoLevel, "target is limited as cold", "none; if it stays, see docs/OPERATIONS.md, a target that stays cold"}
}

// TargetWarm is logged when the VM's target gets all requests again after it was or may have been cold.
func TargetWarm() Entry {
	return Entry{411, zerolog.InfoLevel, "target is no longer limited as cold", "none"}
}

// NoticeFailed is logged when a notice cannot be delivered.
func NoticeFailed() Entry {
	return Entry{500, zerolog.WarnLevel, "notice not delivered", "check the setting notify and its receiver"}
}

// NoticeSent is logged when a notice was delivered.
func NoticeSent() Entry {
	return Entry{501, zerolog.InfoLevel, "notice delivered", "follow the notice"}
}

// LoopFailed is logged when a background loop of the daemon ended with an error.
func LoopFailed() Entry {
	return Entry{600, zerolog.ErrorLevel, "duty failed", "report the stack of the line as a defect"}
}

// RequestEnded is logged for a request that was refused, failed, was late or was sent to several targets.
func RequestEnded() Entry {
	return Entry{700, zerolog.InfoLevel, "request ended", "see docs/OPERATIONS.md, from the id to the cause"}
}

// LinesOmitted is logged when lines about requests were omitted to limit their number.
func LinesOmitted() Entry {
	return Entry{701, zerolog.InfoLevel, "lines about requests left out", "none; the counters have all of them"}
}

// RequestQuarantined is logged when a request that crashes targets is refused from now on, at each daemon.
func RequestQuarantined() Entry {
	return Entry{702, zerolog.WarnLevel, "request is quarantined", "see docs/OPERATIONS.md, a request that crashes targets"}
}

// AnswerInvalid is logged for an answer of a target or another daemon that is no HTTP response or ended early.
func AnswerInvalid() Entry {
	return Entry{703, zerolog.WarnLevel, "answer is not valid", "mend the server at the address that the line names"}
}

// EventsPage returns the content of docs/events.md, generated from the catalogue and the kinds of timeline events.
func EventsPage() string {
	var page strings.Builder
	page.WriteString("# Events\n\nGenerated by `basilliftd --events`.\n\n## Log\n\n")
	page.WriteString("Each log line has the field `event` with one of these numbers.\n\n")
	page.WriteString("| event | level | text | what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.number, e.level, e.text, e.action)
	}
	page.WriteString("\n## Timeline\n\nEach event of the timeline has one of these kinds. Its fields are described in `schema/timeline.json`.\n\n")
	page.WriteString("| kind | when |\n| --- | --- |\n")
	for _, k := range basillift.EventKinds() {
		fmt.Fprintf(&page, "| `%s` | %s |\n", k.Kind(), k.Text())
	}
	return page.String()
}
