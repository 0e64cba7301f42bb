package basillift

import (
	"fmt"
	"strconv"
	"strings"
)

// Version is the number of one configuration. Versions are ordered by epoch and
// then by revision. The zero Version is older than every published one.
type Version struct {
	epoch    uint64
	revision uint64
}

// NewVersion returns the version with the operators' epoch and the platform's revision.
func NewVersion(epoch, revision uint64) Version {
	return Version{epoch: epoch, revision: revision}
}

// ParseVersion parses the form that String returns, such as "1.42". Errors wrap ErrVersionSyntax.
func ParseVersion(text string) (Version, error) {
	epochText, revisionText, found := strings.Cut(text, ".")
	if !found {
		return Version{}, fmt.Errorf("parse version %q: %w", text, ErrVersionSyntax)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("parse version %q: %w", text, ErrVersionSyntax)
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return Version{}, fmt.Errorf("parse version %q: %w", text, ErrVersionSyntax)
	}
	return NewVersion(epoch, revision), nil
}

// Epoch is the number that operators raise after the platform was restored from a backup.
func (v Version) Epoch() uint64 { return v.epoch }

// Revision is the platform's store revision of the newest key of the configuration.
func (v Version) Revision() uint64 { return v.revision }

// IsZero reports whether v is the zero Version, which no configuration has.
func (v Version) IsZero() bool { return v == Version{} }

// NewerThan reports whether v comes after o.
func (v Version) NewerThan(o Version) bool { return v.Compare(o) > 0 }

// Compare returns -1 if v is older than o, 0 if they are equal, and 1 if v is newer.
func (v Version) Compare(o Version) int {
	switch {
	case v.epoch < o.epoch, v.epoch == o.epoch && v.revision < o.revision:
		return -1
	case v == o:
		return 0
	default:
		return 1
	}
}

// String returns the form "epoch.revision".
func (v Version) String() string {
	return strconv.FormatUint(v.epoch, 10) + "." + strconv.FormatUint(v.revision, 10)
}

// MarshalText returns the form of String.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the form of String.
func (v *Version) UnmarshalText(text []byte) error {
	parsed, err := ParseVersion(string(text))
	if err != nil {
		return fmt.Errorf("unmarshal version: %w", err)
	}
	*v = parsed
	return nil
}
