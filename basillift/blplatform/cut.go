package blplatform

import (
	"context"
	"errors"
	"fmt"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// cutTries bounds the reads of one cut, since every read counts against the
// budget of all readers. A list that is being written over and over fails all
// tries and is read again after the reader's backoff.
const cutTries = 4

// ReadCut reads both lists and their parts as one version. Values that a watch
// has just returned may be passed, which saves reading them again when they
// still belong to the cut. It returns bllist.ErrInconsistent when the lists
// changed during all tries, and a bllist.InvalidError for a version that must be
// refused.
func ReadCut(ctx context.Context, p basillift.Platform, seen ...basillift.Value) (bllist.ConsistentRead, error) {
	var err error
	for range cutTries {
		var values []basillift.Value
		values, err = readValues(ctx, p, seen)
		if err != nil {
			return bllist.ConsistentRead{}, fmt.Errorf("read lists: %w", err)
		}
		var cut bllist.ConsistentRead
		cut, err = bllist.Assemble(values...)
		if err == nil {
			return cut, nil
		}
		if !torn(err) {
			break
		}
		seen = nil
	}
	return bllist.ConsistentRead{}, fmt.Errorf("read lists: %w", err)
}

func readValues(ctx context.Context, p basillift.Platform, seen []basillift.Value) ([]basillift.Value, error) {
	var values []basillift.Value
	for _, k := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		top, err := readUnlessSeen(ctx, p, k, seen)
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

func readUnlessSeen(ctx context.Context, p basillift.Platform, key string, seen []basillift.Value) (basillift.Value, error) {
	for _, v := range seen {
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

// torn reports an error that a write between the reads explains: values of
// several revisions, or parts that do not belong to their index.
func torn(err error) bool {
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
