package blproxy

import (
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// disconnectWatcher detects with epoll which callers disconnected. fasthttp does not read from a
// connection while its handler runs, so it would not notice. The kernel reports a closed read side
// even behind unread bytes, which a peek would not detect. A caller that only shuts down its write
// side counts as disconnected.
type disconnectWatcher struct {
	file   *os.File
	mutex  sync.Mutex
	byID   map[uint64]*callerConn
	lastID uint64
}

func newDisconnectWatcher() (*disconnectWatcher, error) {
	descriptor, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	err = unix.SetNonblock(descriptor, true)
	if err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	return &disconnectWatcher{file: os.NewFile(uintptr(descriptor), "epoll"), byID: map[uint64]*callerConn{}}, nil
}

// add starts watching a connection. The kernel removes the descriptor from epoll when it is
// closed.
func (w *disconnectWatcher) add(c *callerConn) error {
	w.mutex.Lock()
	w.lastID++
	c.id = w.lastID
	w.byID[c.id] = c
	w.mutex.Unlock()
	event := unix.EpollEvent{
		Events: unix.EPOLLRDHUP | unix.EPOLLET,
		Fd:     int32(uint32(c.id)),
		Pad:    int32(uint32(c.id >> 32)),
	}
	err := w.register(c.descriptor, &event)
	if err != nil {
		w.remove(c)
		return err
	}
	return nil
}

func (w *disconnectWatcher) register(descriptor int, event *unix.EpollEvent) error {
	raw, err := w.file.SyscallConn()
	if err != nil {
		return fmt.Errorf("watch connection: %w", err)
	}
	var added error
	err = raw.Control(func(fd uintptr) { added = unix.EpollCtl(int(fd), unix.EPOLL_CTL_ADD, descriptor, event) })
	if err == nil {
		err = added
	}
	if err != nil {
		return fmt.Errorf("watch connection: %w", err)
	}
	return nil
}

func (w *disconnectWatcher) remove(c *callerConn) {
	w.mutex.Lock()
	delete(w.byID, c.id)
	w.mutex.Unlock()
}

func (w *disconnectWatcher) find(id uint64) *callerConn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.byID[id]
}

// calls returns the calls in flight.
func (w *disconnectWatcher) calls() []*call {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []*call
	for _, c := range w.byID {
		current := c.current()
		if current != nil {
			found = append(found, current)
		}
	}
	return found
}

func (w *disconnectWatcher) close() error {
	err := w.file.Close()
	if err != nil {
		return fmt.Errorf("close epoll: %w", err)
	}
	return nil
}

// loop cancels the calls of disconnected callers until the watcher is closed. The epoll descriptor
// is registered with Go's network poller, so the loop blocks no thread.
func (w *disconnectWatcher) loop() {
	raw, err := w.file.SyscallConn()
	if err != nil {
		return
	}
	events := make([]unix.EpollEvent, 128)
	for {
		n := 0
		err = raw.Read(func(fd uintptr) bool {
			n, _ = unix.EpollWait(int(fd), events, 0)
			return n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:n] {
			w.handleDisconnect(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

func (w *disconnectWatcher) handleDisconnect(id uint64) {
	c := w.find(id)
	if c != nil {
		c.markDisconnected()
	}
}
