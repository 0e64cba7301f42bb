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
func (d *disconnectWatcher) add(c *callerConn) error {
	d.mutex.Lock()
	d.lastID++
	c.id = d.lastID
	d.byID[c.id] = c
	d.mutex.Unlock()
	event := unix.EpollEvent{
		Events: unix.EPOLLRDHUP | unix.EPOLLET,
		Fd:     int32(uint32(c.id)),
		Pad:    int32(uint32(c.id >> 32)),
	}
	err := d.register(c.descriptor, &event)
	if err != nil {
		d.remove(c)
		return err
	}
	return nil
}

func (d *disconnectWatcher) register(descriptor int, event *unix.EpollEvent) error {
	raw, err := d.file.SyscallConn()
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

func (d *disconnectWatcher) remove(c *callerConn) {
	d.mutex.Lock()
	delete(d.byID, c.id)
	d.mutex.Unlock()
}

func (d *disconnectWatcher) find(id uint64) *callerConn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.byID[id]
}

// calls returns the calls in flight.
func (d *disconnectWatcher) calls() []*call {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var found []*call
	for _, c := range d.byID {
		current := c.current()
		if current != nil {
			found = append(found, current)
		}
	}
	return found
}

func (d *disconnectWatcher) close() error {
	err := d.file.Close()
	if err != nil {
		return fmt.Errorf("close epoll: %w", err)
	}
	return nil
}

// loop cancels the calls of disconnected callers until the watcher is closed. The epoll descriptor
// is registered with Go's network poller, so the loop blocks no thread.
func (d *disconnectWatcher) loop() {
	raw, err := d.file.SyscallConn()
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
			d.handleDisconnect(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32)
		}
	}
}

func (d *disconnectWatcher) handleDisconnect(id uint64) {
	c := d.find(id)
	if c != nil {
		c.markDisconnected()
	}
}
