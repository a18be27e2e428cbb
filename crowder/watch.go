package crowder

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	sampleInterval = 20 * time.Millisecond
	// settleSamples is how many samples in a row show no more once a process has taken in all that
	// was sent, and settleGrowth by how many bytes its memory may grow meanwhile.
	settleSamples = 50
	settleGrowth  = 1 << 20
)

// Usage is what a process takes.
type Usage struct {
	// Memory is what is resident, and what has arrived for the process and was not read, in bytes.
	Memory int
	// Descriptors is how many files and sockets are open.
	Descriptors int
}

// Watcher samples what a process takes.
type Watcher struct {
	pid     int
	address string // as /proc/net/tcp has it
	ending  chan struct{}
	peak    chan Usage
}

// Watch samples what the process takes that listens at the address, until End.
func Watch(pid int, address netip.Addr) *Watcher {
	b := address.As4()
	w := &Watcher{pid: pid, address: fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0]), ending: make(chan struct{}), peak: make(chan Usage)}
	go w.run()
	return w
}

// End returns the most that the process has taken, once it takes no more.
func (w *Watcher) End() Usage {
	close(w.ending)
	return <-w.peak
}

func (w *Watcher) run() {
	var peak, settling Usage
	for settled := 0; settled < settleSamples; settled++ {
		now := w.sample()
		if now.Memory > settling.Memory+settleGrowth || now.Descriptors > settling.Descriptors || !w.isEnding() {
			settled, settling = 0, now
		}
		peak = Usage{Memory: max(peak.Memory, now.Memory), Descriptors: max(peak.Descriptors, now.Descriptors)}
		time.Sleep(sampleInterval)
	}
	w.peak <- peak
}

func (w *Watcher) isEnding() bool {
	select {
	case <-w.ending:
		return true
	default:
		return false
	}
}

func (w *Watcher) sample() Usage {
	files := openFiles(w.pid)
	return Usage{Memory: residentMemory(w.pid) + unreadBytes(w.address, socketsOf(files)), Descriptors: len(files)}
}

// residentMemory returns the resident memory of a process in bytes, or 0 if it has ended.
func residentMemory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// unreadBytes returns what has arrived at the sockets or, before it was accepted, at the address, and
// was not read.
func unreadBytes(address string, sockets map[string]bool) int {
	const listening = "0A" // state of a listener, of which the kernel shows connections in place of bytes
	text, _ := os.ReadFile("/proc/net/tcp")
	sum := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == listening {
			continue
		}
		if !strings.HasPrefix(fields[1], address) && !sockets[fields[9]] {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += int(n)
	}
	return sum
}

// openFiles returns what the descriptors of a process stand for.
func openFiles(pid int) []string {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	names, _ := os.ReadDir(folder)
	var files []string
	for _, name := range names {
		file, _ := os.Readlink(filepath.Join(folder, name.Name()))
		files = append(files, file)
	}
	return files
}

// socketsOf returns the inodes of the sockets among the files.
func socketsOf(files []string) map[string]bool {
	sockets := make(map[string]bool)
	for _, file := range files {
		if inode, ok := strings.CutPrefix(file, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets
}

// Descriptors returns how many files and sockets a process has open, or 0 if it has ended.
func Descriptors(pid int) int {
	return len(openFiles(pid))
}

// LimitDescriptors lowers how many files and sockets a process may have open.
func LimitDescriptors(pid, n int) error {
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}
