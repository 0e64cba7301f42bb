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
	// streamBytes is what a streamed body takes in any case: the first block that is read ahead, one that is not quite empty
	// yet, the buffer of what sends the body on, and what the kernel holds.
	streamBytes = 3*streamBlockBytes + kernelBytes
	// maxReadAheadBytes is how much of a large request body is read before it can be sent on. Behind unread bytes a disconnect
	// of the peer does not become visible.
	maxReadAheadBytes = 4 << 20
	// maxReadAheadStep is by how much the memory for a body grows at once.
	maxReadAheadStep = 1 << 20
)

var errStreamStopped = eris.New("nothing more of the body is needed")

// readAhead is the rest of a large body. A goroutine reads it from the connection ahead of what sends it on, as far as the memory
// allows.
type readAhead struct {
	source io.Reader
	memory *bodyMemory
	// maxBytes bounds what is read ahead.
	maxBytes int
	// interruptRead ends a pending read from the connection.
	interruptRead func()
	// ended is closed when nothing more is read from the connection.
	ended chan struct{}

	mutex   sync.Mutex
	changed *sync.Cond
	// parts are the bytes that were read and not yet taken, buffered their number. At most allowed bytes are read ahead.
	parts    [][]byte
	buffered int
	allowed  int
	// err is the error that ended the body, io.EOF for a complete one; nil before.
	err     error
	stopped bool
}

func newReadAhead(source io.Reader, memory *bodyMemory, maxBytes int) *readAhead {
	r := &readAhead{source: source, memory: memory, maxBytes: maxBytes, ended: make(chan struct{}), allowed: streamBlockBytes}
	r.changed = sync.NewCond(&r.mutex)
	return r
}

// loop reads the body ahead until its end, or until nothing more is needed.
func (r *readAhead) loop() {
	defer close(r.ended)
	var block []byte
	for r.awaitRoom() {
		if len(block) == cap(block) {
			block = make([]byte, 0, streamBlockBytes)
		}
		n, err := r.source.Read(block[len(block):cap(block)])
		r.add(block, n, err)
		block = block[:len(block)+n]
		if err != nil {
			return
		}
	}
}

// add appends the n bytes that were read behind those of a block.
func (r *readAhead) add(block []byte, n int, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := len(r.parts) - 1
	switch {
	case n == 0:
	case len(block) > 0 && last >= 0:
		// The last part ends where the new bytes begin. Many small parts would take more than their bytes.
		r.parts[last] = r.parts[last][:len(r.parts[last])+n]
	default:
		r.parts = append(r.parts, block[len(block):len(block)+n])
	}
	r.buffered += n
	r.err = err
	r.changed.Broadcast()
}

// awaitRoom waits until a further block may be read; false if nothing more is needed.
func (r *readAhead) awaitRoom() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !r.stopped && r.buffered >= r.allowed {
		if more := min(r.allowed, maxReadAheadStep); r.allowed+more <= r.maxBytes && r.memory.take(more) {
			r.allowed += more
			continue
		}
		r.changed.Wait()
	}
	return !r.stopped
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.buffered == 0 && r.err == nil && !r.stopped {
		r.changed.Wait()
	}
	switch {
	case r.buffered > 0:
		n := copy(p, r.parts[0])
		r.parts[0] = r.parts[0][n:]
		if len(r.parts[0]) == 0 {
			r.parts[0] = nil
			r.parts = r.parts[1:]
		}
		r.buffered -= n
		r.changed.Broadcast()
		return n, nil
	case r.err != nil:
		return 0, r.err //nolint:wrapcheck // io.EOF must stay as it is
	default:
		return 0, fmt.Errorf("read body: %w", errStreamStopped)
	}
}

// stop ends pending reads of the body, and all later ones.
func (r *readAhead) stop() {
	r.mutex.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.mutex.Unlock()
	r.interruptRead()
}

// complete reports whether the whole body has been read from the connection.
func (r *readAhead) complete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return errors.Is(r.err, io.EOF)
}

// broken reports whether the body ended before its announced end.
func (r *readAhead) broken() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.err != nil && !errors.Is(r.err, io.EOF)
}
