package labbench

import (
	"context"
	"fmt"
)

// system is a way to distribute the configuration, the measured one or a baseline. It
// starts meshes of its kind.
type system interface {
	name() string
	start(ctx context.Context, t *trial) (mesh, error)
}

// measuredSystem runs the control plane of basillift.
type measuredSystem struct{}

func (measuredSystem) name() string { return "basillift" }

func (measuredSystem) start(ctx context.Context, t *trial) (mesh, error) {
	f, err := startFleet(ctx, t.shape, t.platform.url(), t.meter, t.options.seed)
	if err != nil {
		return nil, fmt.Errorf("start daemons: %w", err)
	}
	return f, nil
}
