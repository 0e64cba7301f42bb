package main

import (
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blsettings"
)

const (
	// defaultMemoryMB applies if neither the settings nor the flags name the memory of the process. Peers may use 48 MB of it.
	defaultMemoryMB = 144
	// defaultDescriptors applies likewise if the process may open that many.
	defaultDescriptors = 4096
)

var errLimit = eris.New("a limit is a whole number, 0 or more; empty if it is not known")

// limitFlag is a limit of the process; 0 if it is not known. The environment may hold an empty value.
type limitFlag int

// UnmarshalFlag implements flags.Unmarshaler.
func (l *limitFlag) UnmarshalFlag(text string) error {
	if text == "" {
		*l = 0
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return fmt.Errorf("found %q: %w", text, errLimit)
	}
	*l = limitFlag(n)
	return nil
}

// processFlags are the limits of the process by its flags or its environment.
type processFlags struct {
	Memory      limitFlag `long:"memory" env:"BASILLIFT_MEMORY" value-name:"MB" description:"memory that the process may use, if the settings do not name it"`
	Descriptors limitFlag `long:"descriptors" env:"BASILLIFT_DESCRIPTORS" value-name:"N" description:"file descriptors that the process may use, if the settings do not name them"`
}

// limits returns the budgets of the process: by the settings, else by the flags, else by defaults. openable is how many file
// descriptors the process may open.
func (p processFlags) limits(s blsettings.Settings, openable int) blbudget.Limits {
	memory := firstKnown(s.MemoryMB(), int(p.Memory), defaultMemoryMB)
	descriptors := firstKnown(s.Descriptors(), int(p.Descriptors), min(defaultDescriptors, openable))
	return blbudget.NewLimits(memory, descriptors)
}

// firstKnown returns the first value that is not 0.
func firstKnown(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// openableDescriptors returns the soft limit of open file descriptors, or defaultDescriptors if it cannot be read.
func openableDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > defaultDescriptors {
		return defaultDescriptors
	}
	return int(limit.Cur)
}
