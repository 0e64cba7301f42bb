package labbench

import (
	"context"
	"fmt"
)

// system starts one kind of mesh.
type system interface {
	name() string
	start(ctx context.Context, t *trial) (mesh, error)
}

// relay is the measured system.
type relay struct{}

func (relay) name() string { return "basillift" }

func (relay) start(ctx context.Context, t *trial) (mesh, error) {
	f, err := startFleet(ctx, t.shape, t.platform.url(), t.meter, t.options.seed)
	if err != nil {
		return nil, fmt.Errorf("start daemons: %w", err)
	}
	return f, nil
}
