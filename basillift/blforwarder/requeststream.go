package blforwarder

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// streamBlockBytes is how much of a large body is read at a time.
	streamBlockBytes = 16 << 10
	// maxReadAheadBytes is how much of a large body is read before it can be sent on. Behind unread bytes a disconnect of the
	// peer does not become visible.
	maxReadAheadBytes = 4 << 20
)

var errStreamStopped = eris.New("nothing more of the body is needed")

// requestStream is the part of a large body that follows what request.body holds. A goroutine reads it ahead from the
// connection, as far as the memory allows.
type requestStream struct {
	source io.Reader
	memory *bodyMemory
	// done is closed when nothing more of the body is needed.
	done chan struct{}
	// interruptRead ends a pending read from the connection.
	interruptRead func()
	// ended is closed when nothing more is read from the connection.
	ended chan struct{}

	mutex   sync.Mutex
	changed *sync.Cond
	// ahead are the bytes that were read and not yet taken. At most allowed bytes are read ahead.
	ahead   []byte
	allowed int
	// err is the error that ended the body, io.EOF for a complete one; nil before.
	err     error
	stopped bool
}

func newRequestStream(source io.Reader, memory *bodyMemory) *requestStream {
	r := &requestStream{source: source, memory: memory, done: make(chan struct{}), ended: make(chan struct{}), allowed: streamBlockBytes}
	r.changed = sync.NewCond(&r.mutex)
	return r
}

// loop reads the body ahead until its end, or until nothing more is needed.
func (r *requestStream) loop() {
	defer close(r.ended)
	block := make([]byte, streamBlockBytes)
	for r.awaitRoom() {
		n, err := r.source.Read(block)
		r.mutex.Lock()
		r.ahead = append(r.ahead, block[:n]...)
		r.err = err
		r.changed.Broadcast()
		r.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until a further block may be read; false if nothing more is needed.
func (r *requestStream) awaitRoom() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !r.stopped && len(r.ahead) >= r.allowed {
		if more := r.allowed; r.allowed+more <= maxReadAheadBytes && r.memory.take(more) {
			r.allowed += more
			continue
		}
		r.changed.Wait()
	}
	return !r.stopped
}

// Read implements io.Reader.
func (r *requestStream) Read(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for len(r.ahead) == 0 && r.err == nil && !r.stopped {
		r.changed.Wait()
	}
	switch {
	case len(r.ahead) > 0:
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		if len(r.ahead) == 0 {
			r.ahead = nil
		}
		r.changed.Broadcast()
		return n, nil
	case r.err != nil:
		return 0, r.err //nolint:wrapcheck // io.EOF must stay as it is
	default:
		return 0, fmt.Errorf("read body: %w", errStreamStopped)
	}
}

// stop ends pending reads of the body, and all later ones.
func (r *requestStream) stop() {
	r.mutex.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.mutex.Unlock()
	r.interruptRead()
}

// end signals to the session that nothing more of the body is needed.
func (r *requestStream) end() {
	if !r.complete() {
		r.stop()
	}
	close(r.done)
}

// complete reports whether the whole body has been read from the connection.
func (r *requestStream) complete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return errors.Is(r.err, io.EOF)
}

// broken reports whether the body ended before its announced end.
func (r *requestStream) broken() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.err != nil && !errors.Is(r.err, io.EOF)
}
