package blrpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// windowSize is the history of each compressed stream. 64 KB hold some hundred
	// messages; a larger window costs memory on every connection.
	windowSize = 64 << 10
	// maxMessage bounds one decoded message. The largest is a full snapshot.
	maxMessage = 16 << 20
	// writeTimeout bounds one write, so that a frozen peer whose receive buffer is full
	// does not hold the sender.
	writeTimeout = time.Second
	// socketBuffer is the size of the buffers above the socket; most messages are far
	// smaller after compression.
	socketBuffer = 4 << 10
)

var errMessageSize = eris.New("message exceeds 16 MB")

// stream is one connection as jsonrpc2 sees it: a sequence of objects, each preceded by
// its length, in one zstd stream for each direction.
type stream struct {
	socket  *countingConn
	buffer  *bufio.Writer
	encoder *zstd.Encoder
	reader  *consumedReader
	decoder *zstd.Decoder
	plain   *bufio.Reader
}

// consumedReader counts the bytes that the decoder took from the buffer above the socket.
// Counting there rather than below the buffer attributes them to the right message.
type consumedReader struct {
	source   *bufio.Reader
	consumed uint64
}

func (r *consumedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.consumed += uint64(n)
	return n, err //nolint:wrapcheck // a transparent layer below the stream, which wraps
}

func newStream(conn net.Conn) (*stream, error) {
	s := &stream{socket: &countingConn{Conn: conn}}
	s.buffer = bufio.NewWriterSize(s.socket, socketBuffer)
	s.reader = &consumedReader{source: bufio.NewReaderSize(conn, socketBuffer)}
	encoder, err := zstd.NewWriter(s.buffer, zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	decoder, err := zstd.NewReader(s.reader, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(windowSize))
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	s.encoder, s.decoder = encoder, decoder
	s.plain = bufio.NewReaderSize(decoder, socketBuffer)
	return s, nil
}

// WriteObject sends one object. jsonrpc2 never calls it from two goroutines at once.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > maxMessage {
		return fmt.Errorf("encode message of %d bytes: %w", len(data), errMessageSize)
	}
	if err := s.write(data); err != nil {
		_ = s.socket.Close()
		return err
	}
	return nil
}

func (s *stream) write(data []byte) error {
	if err := s.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(data)))
	if _, err := s.encoder.Write(length[:n]); err != nil {
		return fmt.Errorf("write length: %w", err)
	}
	if _, err := s.encoder.Write(data); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	if err := s.encoder.Flush(); err != nil {
		return fmt.Errorf("flush encoder: %w", err)
	}
	if err := s.buffer.Flush(); err != nil {
		return fmt.Errorf("flush socket: %w", err)
	}
	return nil
}

// ReadObject waits for the next object.
func (s *stream) ReadObject(v any) error {
	length, err := binary.ReadUvarint(s.plain)
	if err != nil {
		return fmt.Errorf("read length: %w", err)
	}
	if length > maxMessage {
		return fmt.Errorf("read message of %d bytes: %w", length, errMessageSize)
	}
	data, err := s.read(int(length))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// read takes exactly length bytes. Long messages grow a buffer as bytes arrive, so that a
// peer cannot make the daemon allocate by naming a length alone.
func (s *stream) read(length int) ([]byte, error) {
	if length <= windowSize {
		data := make([]byte, length)
		_, err := io.ReadFull(s.plain, data)
		return data, err //nolint:wrapcheck // the caller wraps
	}
	data, err := io.ReadAll(io.LimitReader(s.plain, int64(length)))
	if err == nil && len(data) < length {
		err = io.ErrUnexpectedEOF
	}
	return data, err //nolint:wrapcheck // the caller wraps
}

// Close closes the socket. The encoder and the decoder hold no other resources: with a
// concurrency of 1 neither runs a goroutine.
func (s *stream) Close() error {
	if err := s.socket.Close(); err != nil {
		return fmt.Errorf("close socket: %w", err)
	}
	return nil
}
