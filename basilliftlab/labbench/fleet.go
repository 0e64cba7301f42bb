package labbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blplatform"
)

// mesh is a set of running daemons of one system.
type mesh interface {
	// settled reports whether every daemon knows all others.
	settled() bool
	// traffic returns the bytes that each daemon has sent to and received from others.
	traffic() []traffic
	stop()
}

// daemon is the control plane of one daemon.
type daemon struct {
	node   *blnode.Node
	client *blplatform.Client
	cancel context.CancelFunc
	done   chan struct{}
	// stopped daemons are left out of the measurements.
	stopped bool
	err     error
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	d.err = d.node.Run(ctx)
}

// fleet is a mesh of the measured system.
type fleet struct {
	shape   shape
	daemons []*daemon
}

// startFleet starts all daemons at once. The URL is that of the platform.
func startFleet(ctx context.Context, s shape, url string, m *convergenceMeter, seed int64) (*fleet, error) {
	f := &fleet{shape: s}
	incarnation := uint64(time.Now().UnixMilli())
	for i := range s.daemons {
		d, err := newDaemon(s, url, m, i, incarnation, seed+int64(i))
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.start(ctx)
	}
	return f, nil
}

func newDaemon(s shape, url string, m *convergenceMeter, i int, incarnation uint64, seed int64) (*daemon, error) {
	client, err := blplatform.NewClient(url, blplatform.WithWait(watchWait))
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	node, err := blnode.New(s.member(i, incarnation), s.seeds(), client, &recorder{meter: m, daemon: i}, blnode.WithSeed(seed))
	if err != nil {
		return nil, fmt.Errorf("new node: %w", err)
	}
	return &daemon{node: node, client: client, done: make(chan struct{})}, nil
}

func (d *daemon) start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.node.SetState(basillift.TargetReady)
	go d.run(ctx)
}

func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.cancel()
	}
	var tasks sync.WaitGroup
	for _, d := range f.daemons {
		tasks.Go(d.wait)
	}
	tasks.Wait()
}

func (d *daemon) wait() {
	<-d.done
	d.client.Close()
}

// settled reports whether every daemon knows all others as alive, with their targets ready.
func (f *fleet) settled() bool {
	for _, d := range f.daemons {
		if d.node.View().Order().Len() != f.shape.daemons {
			return false
		}
		for _, s := range d.node.Members() {
			if s.Member().State() != basillift.TargetReady || s.Liveness() != basillift.LivenessAlive {
				return false
			}
		}
	}
	return true
}

func (f *fleet) traffic() []traffic {
	all := make([]traffic, 0, len(f.daemons))
	for _, d := range f.daemons {
		all = append(all, newTraffic(d.node.Counters()))
	}
	return all
}

// meanConnections is the mean number of control connections of a daemon.
func (f *fleet) meanConnections() float64 {
	sum := 0
	for _, d := range f.daemons {
		sum += d.node.Status().Peers
	}
	return float64(sum) / float64(len(f.daemons))
}

// role is a daemon's position in the distribution of the configuration.
type role string

// The roles. A head is also a reader, and it is the inner node at the top of its tree.
const (
	roleHead     role = "head"
	roleReader   role = "reader"
	roleInner    role = "inner"
	roleOrdinary role = "ordinary"
)

func allRoles() []role { return []role{roleHead, roleReader, roleInner, roleOrdinary} }

// daemonRoles returns the role of each daemon, by its index.
func (f *fleet) daemonRoles() []role {
	order := f.daemons[0].node.View().Order()
	list := make([]role, 0, len(f.daemons))
	for i := range f.daemons {
		id := f.shape.id(i)
		switch {
		case order.IsHead(id):
			list = append(list, roleHead)
		case order.IsReader(id):
			list = append(list, roleReader)
		case len(order.Neighbors(id)) > 1:
			list = append(list, roleInner)
		default:
			list = append(list, roleOrdinary)
		}
	}
	return list
}
