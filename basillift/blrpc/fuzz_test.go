package blrpc

import (
	"net"
	"testing"
)

// Guards against input from the network that crashes ReadObject or makes it loop forever.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0x00, 0x30, 0x09, 0x00, 0x00, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		x, y := net.Pipe()
		s, err := newStream(y)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = x.Write(data)
			_ = x.Close()
		}()
		for {
			var v any
			if err := s.ReadObject(&v); err != nil {
				break
			}
		}
		_ = y.Close()
		<-done
	})
}
