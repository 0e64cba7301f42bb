package blproxy

import (
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// call is one request in flight through this daemon. Its connections can be
// closed from outside by cancel.
type call struct {
	id       string
	customer string
	service  string
	method   string
	key      string
	from     basillift.VMID
	version  basillift.Version
	depth    int
	since    time.Time
	deadline time.Time
	conn     *callerConn

	mutex    sync.Mutex
	canceled bool
	held     []*blpool.Conn
	space    [2]*blpool.Conn
	// decided is set once one of two copies of the call counts; keep is its connection.
	decided bool
	keep    *blpool.Conn
	done    chan struct{}
	slot    uint64
	// guarded is set while the guard counts the call as in flight at the target,
	// and answered once the target has answered it.
	guarded bool
	// limited is set while the call counts against its customer's limits.
	limited  bool
	answered bool
}

// cancel closes the connections that the call holds; later ones are refused.
func (c *call) cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.canceled {
		return
	}
	c.canceled = true
	if c.done != nil {
		close(c.done)
	}
	for _, each := range c.held {
		_ = each.Close()
	}
}

func (c *call) isCanceled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.canceled
}

// canceledChan is closed when the call is canceled.
func (c *call) canceledChan() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.canceled {
			close(c.done)
		}
	}
	return c.done
}

// wait pauses the call, and reports false if it was canceled meanwhile.
func (c *call) wait(d time.Duration) bool {
	if d <= 0 {
		return !c.isCanceled()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.canceledChan():
		return false
	}
}

// hold lets cancel close the connection, and reports false if the call is already canceled.
func (c *call) hold(n *blpool.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.canceled || c.decided && n != c.keep {
		return false
	}
	if c.held == nil {
		c.held = c.space[:0]
	}
	c.held = append(c.held, n)
	return true
}

// letGo ends the hold, and reports false if the call was canceled or the other copy of it
// counts, so that the connection is closed.
func (c *call) letGo(n *blpool.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	i := slices.Index(c.held, n)
	if i < 0 {
		return false
	}
	c.held = append(c.held[:i], c.held[i+1:]...)
	return !c.canceled
}

// closeOthers closes all connections of the call but one, and refuses later ones.
func (c *call) closeOthers(keep *blpool.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.decided, c.keep = true, keep
	for _, each := range c.held {
		if each != keep {
			_ = each.Close()
		}
	}
	c.held = slices.DeleteFunc(c.held, func(each *blpool.Conn) bool { return each != keep })
}
