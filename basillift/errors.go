package basillift

import "github.com/rotisserie/eris"

// Errors that callers compare with errors.Is.
var (
	// ErrVersionSyntax means that a version is not of the form "epoch.revision".
	ErrVersionSyntax = eris.New("version must be two numbers joined by a dot")
	// ErrNotFound means that the platform has no value under a key.
	ErrNotFound = eris.New("key not found")
	// ErrUnavailable means that a peer or the platform cannot be reached or refuses work for now.
	ErrUnavailable = eris.New("unavailable")
	// ErrCompacted means that the registry no longer has the changes since a revision.
	ErrCompacted = eris.New("history no longer available")
	// ErrRefused means that a configuration or message was refused as a whole.
	ErrRefused = eris.New("refused")
)
