package blproxy

import (
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// watcher learns from the kernel which callers hung up. fasthttp does not read
// from a connection while its handler runs, so nothing else would notice. The
// kernel reports a closed read side even behind unread bytes, which a peek would
// not. A caller that only shuts down its write side counts as gone.
type watcher struct {
	file  *os.File
	mutex sync.Mutex
	byID  map[uint64]*callerConn
	last  uint64
}

func newWatcher() (*watcher, error) {
	descriptor, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	err = unix.SetNonblock(descriptor, true)
	if err != nil {
		_ = unix.Close(descriptor)
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	return &watcher{file: os.NewFile(uintptr(descriptor), "epoll"), byID: map[uint64]*callerConn{}}, nil
}

// add starts watching. The descriptor leaves the watch by being closed.
func (w *watcher) add(c *callerConn) error {
	w.mutex.Lock()
	w.last++
	c.id = w.last
	w.byID[c.id] = c
	w.mutex.Unlock()
	event := unix.EpollEvent{
		Events: unix.EPOLLRDHUP | unix.EPOLLET,
		Fd:     int32(uint32(c.id)),
		Pad:    int32(uint32(c.id >> 32)),
	}
	err := w.control(c.descriptor, &event)
	if err != nil {
		w.remove(c)
		return err
	}
	return nil
}

func (w *watcher) control(descriptor int, event *unix.EpollEvent) error {
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

func (w *watcher) remove(c *callerConn) {
	w.mutex.Lock()
	delete(w.byID, c.id)
	w.mutex.Unlock()
}

func (w *watcher) find(id uint64) *callerConn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.byID[id]
}

// calls returns the calls in flight.
func (w *watcher) calls() []*call {
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

func (w *watcher) close() error {
	err := w.file.Close()
	if err != nil {
		return fmt.Errorf("close epoll: %w", err)
	}
	return nil
}

// loop cancels the calls of callers that hung up until the watcher is closed.
// The epoll descriptor itself waits in Go's poller, so no thread blocks.
func (w *watcher) loop() {
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
			w.hungUp(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

func (w *watcher) hungUp(id uint64) {
	c := w.find(id)
	if c != nil {
		c.hangUp()
	}
}
