package blforwarder

import (
	"io"
	"sync"
	"time"
)

// answerStream is the rest of a large body. finish must be called once; complete is false if the body was truncated.
type answerStream struct {
	source io.Reader
	finish func(complete bool)
	ahead  *readAhead
	// received is closed when nothing more is read from the target, and its connection can carry another request.
	received chan struct{}

	mutex sync.Mutex
	// returned is set once the connection belongs to others.
	returned bool
}

// readAhead reads the rest of a large answer while its first part is sent on, as far as the memory allows. A target cuts off an
// answer that stays unread for some seconds, and the caller may read slowly.
func (a *answerStream) readAhead(e *exchange, reusable bool) {
	a.ahead = newReadAhead(a.source, e.request.memory, e.request.memory.readAheadBytes())
	a.received = make(chan struct{})
	a.ahead.interruptRead = func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if !a.returned {
			_ = e.conn.SetDeadline(time.Unix(1, 0))
		}
	}
	limitKernelBuffers(e.conn.Conn)
	go a.run(e, reusable)
	a.source = a.ahead
	a.finish = func(complete bool) {
		if !complete {
			a.ahead.stop()
		}
		<-a.received
	}
}

// run reads the answer to its end, and returns the connection.
func (a *answerStream) run(e *exchange, reusable bool) {
	defer close(a.received)
	a.ahead.loop()
	a.mutex.Lock()
	a.returned = true
	a.mutex.Unlock()
	e.finish(a.ahead.complete() && reusable)
	e.logInvalid(a.ahead.err)
}

// onReceived calls a function once the answer was read from the target to its end, or no more of it is needed. A caller that
// reads slowly does not delay it as long as there is memory.
func (a *answerStream) onReceived(f func(complete bool)) {
	go func() {
		<-a.received
		f(a.ahead.complete())
	}()
}
