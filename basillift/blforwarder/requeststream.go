package blforwarder

import "io"

// requestStream is the part of a large body that follows what request.body holds.
type requestStream struct {
	*readAhead
	// done is closed when nothing more of the body is needed.
	done chan struct{}
}

func newRequestStream(source io.Reader, memory *bodyMemory, maxBytes int) *requestStream {
	return &requestStream{readAhead: newReadAhead(source, memory, maxBytes), done: make(chan struct{})}
}

// end signals to the session that nothing more of the body is needed.
func (r *requestStream) end() {
	if !r.complete() {
		r.stop()
	}
	close(r.done)
}
