package bltable

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// coldTable returns the published form of a table whose only service has a cold start.
func coldTable(version uint64, warmup time.Duration, perSecond float64) basillift.RoutingSpec {
	services := []basillift.ServiceLimits{service("catalogue").WithColdStart(warmup, perSecond)}
	return basillift.NewRoutingSpec(version, []basillift.Route{route("r", "/a/")}, services, basillift.ClientLimits{})
}

// Guards against a follower or an operator's file that loses the cold start of a service.
func TestColdStartIsKept(t *testing.T) {
	spec := coldTable(2, 3*time.Second, 11.5)
	t.Run("in a file", func(t *testing.T) {
		is := is.New(t)
		data, err := Format(spec)
		is.NoErr(err)
		is.Equal(parsed(t, string(data)).Services(), spec.Services())
	})
	t.Run("in a delta", func(t *testing.T) {
		is := is.New(t)
		before, err := Build(coldTable(1, 0, 0))
		is.NoErr(err)
		after, err := Build(spec)
		is.NoErr(err)
		assertDelta(t, before, after)
		assertDelta(t, nil, after)
	})
	t.Run("in the explanation", func(t *testing.T) {
		is := is.New(t)
		table, err := Build(spec)
		is.NoErr(err)
		is.True(strings.Contains(strings.Join(table.Explain("shop.example", "/a/x"), "\n"), "11.5 requests per second, for 3s after a start"))
	})
}

// Guards against a rate limit that never lets a request through, or always.
func TestBuildRefusesColdStart(t *testing.T) {
	for name, c := range map[string]struct {
		warmup    time.Duration
		perSecond float64
		field     string
	}{
		"negative warm-up": {-time.Second, 11, "field warmup"},
		"negative rate":    {time.Second, -1, "field coldPerSecond"},
		"no number":        {time.Second, math.NaN(), "field coldPerSecond"},
		"infinite rate":    {time.Second, math.Inf(1), "field coldPerSecond"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Build(coldTable(1, c.warmup, c.perSecond))
			is.True(errors.Is(err, basillift.ErrRefused))
			is.True(strings.Contains(err.Error(), `service "catalogue"`))
			is.True(strings.Contains(err.Error(), c.field))
		})
	}
}
