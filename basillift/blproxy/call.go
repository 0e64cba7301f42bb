package blproxy

import (
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// call is one request in flight through this daemon. Another goroutine can close its connections
// with cancel.
type call struct {
	id        string
	customer  string
	service   string
	method    string
	key       string
	from      basillift.VMID
	version   basillift.Version
	depth     int
	startedAt time.Time
	deadline  time.Time
	conn      *callerConn

	mutex       sync.Mutex
	canceled    bool
	conns       []*blpool.Conn
	connsBuffer [2]*blpool.Conn
	// winnerChosen is set once the response to one of two copies of the call is used; winnerConn is
	// the connection of that copy.
	winnerChosen   bool
	winnerConn     *blpool.Conn
	canceledSignal chan struct{}
	slot           uint64
	// tracked is set while the quarantine counts the call as in flight at the target, and answered
	// once the target has answered it.
	tracked bool
	// limited is set while the call counts against its customer's limits.
	limited  bool
	answered bool
}

// cancel closes the connections of the call. Connections added later are refused.
func (c *call) cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.canceled {
		return
	}
	c.canceled = true
	if c.canceledSignal != nil {
		close(c.canceledSignal)
	}
	for _, each := range c.conns {
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
	if c.canceledSignal == nil {
		c.canceledSignal = make(chan struct{})
		if c.canceled {
			close(c.canceledSignal)
		}
	}
	return c.canceledSignal
}

// wait waits for the duration and reports false if the call was canceled meanwhile.
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

// addConn registers a connection that cancel has to close. It reports false if the call is
// canceled or the other copy of it has won.
func (c *call) addConn(n *blpool.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.canceled || c.winnerChosen && n != c.winnerConn {
		return false
	}
	if c.conns == nil {
		c.conns = c.connsBuffer[:0]
	}
	c.conns = append(c.conns, n)
	return true
}

// removeConn unregisters a connection. It reports false if the call was canceled or the other copy
// of it has won; the connection is closed then.
func (c *call) removeConn(n *blpool.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	i := slices.Index(c.conns, n)
	if i < 0 {
		return false
	}
	c.conns = append(c.conns[:i], c.conns[i+1:]...)
	return !c.canceled
}

// closeOtherConns closes all connections of the call except one, and refuses later ones.
func (c *call) closeOtherConns(keep *blpool.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.winnerChosen, c.winnerConn = true, keep
	for _, each := range c.conns {
		if each != keep {
			_ = each.Close()
		}
	}
	c.conns = slices.DeleteFunc(c.conns, func(each *blpool.Conn) bool { return each != keep })
}
