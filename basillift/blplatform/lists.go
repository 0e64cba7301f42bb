package blplatform

import (
	"context"
	"errors"
	"fmt"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// maxReadAttempts limits the attempts of one ReadLists, because every read counts against
// the budget of all readers. If the lists change during all attempts, the reader calls
// ReadLists again after its backoff.
const maxReadAttempts = 4

// ReadLists performs a consistent read of both lists and all their parts. The caller may
// pass values that a watch has just returned. They are used in the first attempt
// instead of reading them again. ReadLists returns bllist.ErrInconsistent if the lists
// changed during all attempts, basillift.ErrNotFound if neither list exists, and a
// bllist.InvalidError if the lists are invalid.
func ReadLists(ctx context.Context, p basillift.Platform, known ...basillift.Value) (bllist.ConsistentRead, error) {
	var err error
	for range maxReadAttempts {
		var values []basillift.Value
		values, err = readValues(ctx, p, known)
		if err != nil {
			return bllist.ConsistentRead{}, fmt.Errorf("read lists: %w", err)
		}
		var read bllist.ConsistentRead
		read, err = bllist.Assemble(values...)
		if err == nil {
			return read, nil
		}
		if !changedDuringRead(err) {
			break
		}
		known = nil
	}
	return bllist.ConsistentRead{}, fmt.Errorf("read lists: %w", err)
}

func readValues(ctx context.Context, p basillift.Platform, known []basillift.Value) ([]basillift.Value, error) {
	var values []basillift.Value
	for _, k := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		top, err := readUnlessKnown(ctx, p, k, known)
		if errors.Is(err, basillift.ErrNotFound) {
			continue // Assemble reports the missing key.
		}
		if err != nil {
			return nil, err
		}
		values = append(values, top)
		for _, part := range bllist.PartKeys(top) {
			v, err := p.Read(ctx, part)
			if errors.Is(err, basillift.ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, fmt.Errorf("read part: %w", err)
			}
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return nil, fmt.Errorf("both lists: %w", basillift.ErrNotFound)
	}
	return values, nil
}

func readUnlessKnown(ctx context.Context, p basillift.Platform, key string, known []basillift.Value) (basillift.Value, error) {
	for _, v := range known {
		if v.Key() == key && v.ModRevision() > 0 {
			return v, nil
		}
	}
	v, err := p.Read(ctx, key)
	if err != nil {
		return v, fmt.Errorf("read list: %w", err)
	}
	return v, nil
}

// changedDuringRead reports whether a write between the reads may have caused the
// error: values of different revisions, or parts that do not match their index.
func changedDuringRead(err error) bool {
	if errors.Is(err, bllist.ErrInconsistent) {
		return true
	}
	invalid, ok := errors.AsType[*bllist.InvalidError](err)
	if !ok {
		return false
	}
	for _, p := range invalid.Problems() {
		if p.Kind() == bllist.KindPart || p.Kind() == bllist.KindMissing && p.Field() == "" {
			return true
		}
	}
	return false
}
