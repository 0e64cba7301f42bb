package blconfig

import "github.com/rotisserie/eris"

// Errors to match with errors.Is. None of them changes the current version.
var (
	// ErrBase means that a delta does not start at the version it is applied to, or
	// that its result is not newer.
	ErrBase = eris.New("delta does not lead from this version to a newer one")
	// ErrDigest means that the digest of the result differs from the one that the sender computed.
	ErrDigest = eris.New("digest of the result differs")
	// ErrReference means that a customer's plan or a plan's service does not exist.
	ErrReference = eris.New("reference to something that does not exist")
	// ErrDuplicate means that a name occurs twice.
	ErrDuplicate = eris.New("duplicate name")
	// ErrMalformed means that a message cannot be decoded.
	ErrMalformed = eris.New("malformed message")
)
