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
	// windowBytes is the window size of each compressed stream. 64 KB hold a few hundred
	// messages; a larger window would take more memory on every connection.
	windowBytes = 64 << 10
	// maxMessageBytes is the maximum size of a decoded message. The largest messages are full
	// snapshots.
	maxMessageBytes = 16 << 20
	// writeTimeout is the deadline for a write, so that a frozen peer whose receive buffer
	// is full does not block the sender.
	writeTimeout = time.Second
	// socketBufferBytes is the size of the read and write buffers. Most messages are far
	// smaller after compression.
	socketBufferBytes = 4 << 10
)

var errMessageSize = eris.New("message exceeds 16 MB")

// stream implements jsonrpc2.ObjectStream on a connection. Each direction is one zstd stream
// of JSON objects, each preceded by its length as a varint.
type stream struct {
	socket  *countingConn
	buffer  *bufio.Writer
	encoder *zstd.Encoder
	reader  *countingReader
	decoder *zstd.Decoder
	decoded *bufio.Reader
}

// countingReader counts the bytes that the decoder reads from the socket's read buffer. Counting
// above rather than below this buffer attributes the bytes to the correct message.
type countingReader struct {
	source   *bufio.Reader
	consumed uint64
}

func (cr *countingReader) Read(b []byte) (int, error) {
	n, err := cr.source.Read(b)
	cr.consumed += uint64(n)
	return n, err //nolint:wrapcheck // a transparent layer below the stream, which wraps
}

func newStream(conn net.Conn) (*stream, error) {
	s := &stream{socket: &countingConn{Conn: conn}}
	s.buffer = bufio.NewWriterSize(s.socket, socketBufferBytes)
	s.reader = &countingReader{source: bufio.NewReaderSize(conn, socketBufferBytes)}
	encoder, err := zstd.NewWriter(s.buffer, zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	decoder, err := zstd.NewReader(s.reader, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(windowBytes))
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	s.encoder, s.decoder = encoder, decoder
	s.decoded = bufio.NewReaderSize(decoder, socketBufferBytes)
	return s, nil
}

// WriteObject sends one object and closes the socket if the write fails. jsonrpc2 never calls
// it concurrently.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > maxMessageBytes {
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

// ReadObject blocks until the next object arrives and decodes it into v. It returns an error for
// messages above 16 MB.
func (s *stream) ReadObject(v any) error {
	length, err := binary.ReadUvarint(s.decoded)
	if err != nil {
		return fmt.Errorf("read length: %w", err)
	}
	if length > maxMessageBytes {
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

// read reads exactly length bytes. For long messages the buffer grows as bytes arrive, so that
// a peer cannot cause a large allocation by sending only a length.
func (s *stream) read(length int) ([]byte, error) {
	if length <= windowBytes {
		data := make([]byte, length)
		_, err := io.ReadFull(s.decoded, data)
		return data, err //nolint:wrapcheck // the caller wraps
	}
	data, err := io.ReadAll(io.LimitReader(s.decoded, int64(length)))
	if err == nil && len(data) < length {
		err = io.ErrUnexpectedEOF
	}
	return data, err //nolint:wrapcheck // the caller wraps
}

// Close closes the socket. The encoder and the decoder need no cleanup: with a concurrency of
// 1, neither runs a goroutine.
func (s *stream) Close() error {
	if err := s.socket.Close(); err != nil {
		return fmt.Errorf("close socket: %w", err)
	}
	return nil
}
