package labbench

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

var errProc = eris.New("unexpected content")

// usage is what this process uses at one time.
type usage struct {
	at         time.Time
	processor  time.Duration
	resident   float64
	heap       float64
	goroutines int
}

// usageNow reads what the process uses. With collect it first returns unused memory to the
// system, so that what remains is what the daemons hold.
func usageNow(now time.Time, collect bool) (usage, error) {
	if collect {
		// Before the processor time is read, so that a measurement that begins here does
		// not contain it.
		debug.FreeOSMemory()
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	u := usage{at: now, processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()), goroutines: runtime.NumGoroutine()}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.heap = float64(m.HeapAlloc + m.StackInuse)
	pages, err := field("/proc/self/statm", 1)
	if err != nil {
		return usage{}, err
	}
	u.resident = pages * float64(os.Getpagesize())
	return u, nil
}

// loadAverage is the machine's load average over the last minute. Other programs share the machine.
func loadAverage() float64 {
	load, err := field("/proc/loadavg", 0)
	if err != nil {
		return -1
	}
	return load
}

func field(path string, index int) (float64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read usage: %w", err)
	}
	fields := strings.Fields(string(data))
	if index >= len(fields) {
		return 0, fmt.Errorf("read %s: %w", path, errProc)
	}
	value, err := strconv.ParseFloat(fields[index], 64)
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", path, err)
	}
	return value, nil
}
