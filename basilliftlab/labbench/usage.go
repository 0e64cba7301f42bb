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

var errProcFormat = eris.New("unexpected content")

// processUsage is the resource usage of this process at one time.
type processUsage struct {
	at            time.Time
	cpuTime       time.Duration
	residentBytes float64
	heapBytes     float64
	goroutines    int
}

// readUsage reads the resource usage of the process. With collect it first returns unused
// memory to the operating system, so that only memory that the daemons hold remains.
func readUsage(now time.Time, collect bool) (processUsage, error) {
	if collect {
		// Collect before the CPU time is read, so that a measurement that begins here does
		// not include the collection.
		debug.FreeOSMemory()
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return processUsage{}, fmt.Errorf("read CPU time: %w", err)
	}
	u := processUsage{at: now, cpuTime: time.Duration(r.Utime.Nano() + r.Stime.Nano()), goroutines: runtime.NumGoroutine()}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.heapBytes = float64(m.HeapAlloc + m.StackInuse)
	pages, err := procField("/proc/self/statm", 1)
	if err != nil {
		return processUsage{}, err
	}
	u.residentBytes = pages * float64(os.Getpagesize())
	return u, nil
}

// loadAverage returns the machine's load average over the last minute, or -1 if it cannot be
// read. It is recorded because other programs share the machine.
func loadAverage() float64 {
	load, err := procField("/proc/loadavg", 0)
	if err != nil {
		return -1
	}
	return load
}

// procField returns a number in a file of /proc by its index among the fields.
func procField(path string, index int) (float64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read usage: %w", err)
	}
	fields := strings.Fields(string(data))
	if index >= len(fields) {
		return 0, fmt.Errorf("read %s: %w", path, errProcFormat)
	}
	value, err := strconv.ParseFloat(fields[index], 64)
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", path, err)
	}
	return value, nil
}
