package blforwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blpool"
)

const (
	// writeSliceBytes is how much of an answer is written at a time, so that a peer that reads slowly shows progress.
	writeSliceBytes = 32 << 10
	// writerBytes is the size of the buffer for the answers of a connection.
	writerBytes = 4 << 10
	// maxSlotStall is how long the body of a request may make no progress while it holds a slot or a turn on a slow link that
	// others wait for. Lost packets are sent again after 200, 400 and 800 ms.
	maxSlotStall = 1500 * time.Millisecond
	// minReportedStall is how long a body must have made no progress so that the request is answered with 408. A shorter pause
	// is no reason for an answer that comes too late.
	minReportedStall = 250 * time.Millisecond
	// kernelBytes bounds the bytes of a large body that the kernel holds for a peer that sends faster than the body can be
	// sent on, or reads slowly. Otherwise the kernel lets its buffers grow to several MB for each connection.
	kernelBytes = 128 << 10
	// slowReaderTimeout is how long a peer may read nothing of a large answer; less when the memory is needed. The kernel closes
	// a connection whose peer reads nothing for the TCP user timeout, like one whose peer is gone.
	slowReaderTimeout = 15 * time.Second
)

// errGaveWay is the cause of the end of a context of a request that makes no progress and whose memory, connection or slot is
// needed for others.
var errGaveWay = eris.New("the request made no progress")

// progress is what a session waits for, and since when. It is safe for concurrent use.
type progress struct {
	// requestSince, answerSince and firstSince are the times in Unix nanoseconds since which the session waits for the rest of
	// a request, for the peer to read an answer, and for the first byte; 0 if it does not.
	requestSince, answerSince, firstSince atomic.Int64
	// waitedRequest is how long the read waited that ended with an error, in nanoseconds.
	waitedRequest atomic.Int64
	// reading and writing are what the request whose body arrives, and the one whose answer is written, hold.
	reading, writing atomic.Pointer[bodyMemory]
	// gaveWay is set once the session has to end for others.
	gaveWay atomic.Bool
}

// peer returns what decides whether the session gives way.
func (p *progress) peer() blbudget.Peer {
	bytes := blbudget.ConnectionBytes + p.reading.Load().held() + p.writing.Load().held()
	switch request, answer, first := p.requestSince.Load(), p.answerSince.Load(), p.firstSince.Load(); {
	case p.gaveWay.Load():
	case request != 0:
		return blbudget.NewPeer(blbudget.WaitingRequest, time.Unix(0, request), bytes)
	case answer != 0:
		return blbudget.NewPeer(blbudget.WaitingAnswer, time.Unix(0, answer), bytes)
	case first != 0:
		return blbudget.NewPeer(blbudget.WaitingFirst, time.Unix(0, first), bytes)
	}
	return blbudget.Peer{}
}

// requestStalled returns for how long the session has waited for the rest of a request, or had waited when a read failed.
func (p *progress) requestStalled(now time.Time) time.Duration {
	if since := p.requestSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return time.Duration(p.waitedRequest.Load())
}

// progressReader records how long reads of a request wait.
type progressReader struct{ session *session }

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	progress, started := &p.session.progress, time.Now()
	progress.requestSince.Store(started.UnixNano())
	n, err := p.session.conn.Read(b)
	if err != nil {
		progress.waitedRequest.Store(int64(time.Since(started)))
	}
	progress.requestSince.Store(0)
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// progressWriter records how long writes of an answer wait.
type progressWriter struct{ session *session }

// Write implements io.Writer.
func (p progressWriter) Write(b []byte) (written int, err error) {
	defer p.session.progress.answerSince.Store(0)
	for written < len(b) && err == nil {
		p.session.progress.answerSince.Store(time.Now().UnixNano())
		var n int
		n, err = p.session.conn.Write(b[written:min(len(b), written+writeSliceBytes)])
		written += n
	}
	return written, err //nolint:wrapcheck // the caller adds what was written
}

// limitKernelBuffers bounds what the kernel holds of the large bodies of a connection.
func limitKernelBuffers(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		// On an error the buffers stay as they are.
		_, _ = t.SetReadBuffer(kernelBytes), t.SetWriteBuffer(kernelBytes)
	}
}

// prepareLargeAnswer bounds what the kernel holds of a large answer, and gives the peer time to read it.
func (s *session) prepareLargeAnswer() {
	limitKernelBuffers(s.conn)
	if s.socket != nil {
		// On an error the shorter timeout stays.
		_ = blpool.TCPUserTimeoutControl(slowReaderTimeout)(context.Background(), "", "", s.socket)
	}
}

// shed ends the session of a peer that makes no progress. A request that is not complete yet is refused.
func (s *session) shed(w blbudget.Waiting) {
	if !s.progress.gaveWay.CompareAndSwap(false, true) {
		return
	}
	if w == blbudget.WaitingAnswer {
		s.abort(true)
		return
	}
	s.endUnfinished()
}

// endUnfinished ends the request whose body is still arriving. If a target has got a part of it already, the incomplete body
// ends the exchange with the target, which is not canceled otherwise if the request must not run twice.
func (s *session) endUnfinished() {
	if cancel := s.cancelStream.Load(); cancel != nil {
		(*cancel)(errGaveWay)
	}
	s.interruptRead()
}

// bufferPool keeps the buffers of connections that are not in use, since most connections are idle.
type bufferPool struct {
	readers, writers sync.Pool
}

func (b *bufferPool) reader(source io.Reader, size int) *bufio.Reader {
	if r, ok := b.readers.Get().(*bufio.Reader); ok && r.Size() >= size {
		r.Reset(source)
		return r
	}
	return bufio.NewReaderSize(source, size)
}

func (b *bufferPool) putReader(r *bufio.Reader) {
	r.Reset(nil)
	b.readers.Put(r)
}

func (b *bufferPool) writer(target io.Writer) *bufio.Writer {
	if w, ok := b.writers.Get().(*bufio.Writer); ok {
		w.Reset(target)
		return w
	}
	return bufio.NewWriterSize(target, writerBytes)
}

func (b *bufferPool) putWriter(w *bufio.Writer) {
	w.Reset(nil)
	b.writers.Put(w)
}
