package basillift

// EventDescription describes one kind of timeline event.
type EventDescription struct {
	kind EventKind
	text string
}

// Kind is the described kind.
func (d EventDescription) Kind() EventKind { return d.kind }

// Text says when the event is recorded.
func (d EventDescription) Text() string { return d.text }

// EventKinds lists every kind of timeline event.
func EventKinds() []EventDescription {
	return []EventDescription{
		{EventStarted, "a daemon listens on all its addresses"},
		{EventStopping, "a graceful shutdown begins"},
		{EventStopped, "a graceful shutdown has ended; status is the number of calls that it cut"},
		{EventPaused, "a daemon finds that it did not run for more than 3 s"},
		{EventVersionSeen, "a reader finds a version on the platform"},
		{EventVersionApplied, "a version is in force on the daemon"},
		{EventVersionRefused, "a version is refused as a whole; detail names key, field, found and allowed"},
		{EventVersionIgnored, "an older version, or the same one with another digest, is not adopted"},
		{EventReaderStarted, "the daemon begins to read the platform for its failure domain"},
		{EventReaderStopped, "the daemon stops reading the platform"},
		{EventMemberJoined, "a member is seen for the first time or with a new incarnation"},
		{EventMemberSuspected, "a member did not answer direct and indirect probes"},
		{EventMemberDied, "a suspected member did not refute in time"},
		{EventMemberReturned, "a member that was suspected or dead is alive"},
		{EventTargetState, "the state of the VM's own target changes"},
		{EventCallAccepted, "the caller's daemon has a call from its caller"},
		{EventCallRouted, "the caller's daemon sends an attempt to a target's daemon"},
		{EventCallAdmitted, "the target's daemon admits a call"},
		{EventCallStarted, "the target's daemon begins to send the call to the target"},
		{EventCallEnded, "the target has answered, or the connection to it ended"},
		{EventCallRefused, "a daemon refuses a call"},
		{EventCallAnswered, "the caller's daemon has passed the whole answer to its caller"},
		{EventCallTruncated, "an answer or a call ended before it was whole"},
		{EventAnswerInvalid, "an answer of a target or another daemon is no HTTP response or ended early; detail says how"},
		{EventKeyClaimed, "an idempotency key is claimed for a call"},
		{EventKeySettled, "the answer of a claimed call is stored"},
		{EventTargetCrashed, "the connection to the target broke and it refuses new ones"},
		{EventQuarantined, "a request that crashes targets is refused from now on"},
		{EventNoticeOpened, "a condition needs a human"},
		{EventNoticeClosed, "a condition that needed a human has ended"},
	}
}
