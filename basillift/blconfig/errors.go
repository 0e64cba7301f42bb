package blconfig

import "github.com/rotisserie/eris"

// Errors that callers compare with errors.Is. Each of them leaves the version in force as it was.
var (
	// ErrBase means that a delta starts at another version than the one held.
	ErrBase = eris.New("delta starts at another version")
	// ErrDigest means that the content does not have the digest that its sender computed.
	ErrDigest = eris.New("digest of the result differs")
	// ErrReference means that a customer's plan or a plan's service does not exist.
	ErrReference = eris.New("reference to something that does not exist")
	// ErrDuplicate means that a name occurs twice.
	ErrDuplicate = eris.New("duplicate name")
	// ErrMalformed means that a message cannot be decoded.
	ErrMalformed = eris.New("malformed message")
)
