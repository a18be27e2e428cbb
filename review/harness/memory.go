//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings.
	memoryLimit = 284 << 20
	bodySize    = 4_000_000 // max_body_bytes is 4,194,304
	smallBody   = 600
	uploadTime  = 4500 * time.Millisecond
	// uploadsPerSecond is the rate at each of two machines: 27 x 4 MB x 8 are 864 Mbit/s, and
	// link_mbps is 1,000.
	uploadsPerSecond = 27
	killsUntilFault  = 3
	burstLimit       = 75 * time.Second
)

// memory: many consumers come at once to two machines, each with a request whose body is within
// max_body_bytes, over a link on which it takes some seconds. The platform kills a process that
// uses more than memory_mb, and starts it again. Without trouble as many requests come as slowly,
// with bodies of 600 bytes.
func memory(f *fleet, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := startRunner(f, fmt.Sprintf("i-4a%d0b7c1d2", i), "records", f.address(), zone, i, false); err != nil {
			return false, err
		}
	}
	r := plainRoute("r-1", "jepu9.example", "/records/", "records", "idempotent")
	r["timeout_ms"] = 6000
	if err := f.declare(configuration(1, []route{r}, []map[string]any{plainService("records")}, 16384)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactWindow)
	size := bodySize
	if !trouble {
		size = smallBody
	}
	pressed := f.machines[len(zones) : len(zones)+2]
	kills := make([]atomic.Int64, len(pressed))
	var served, lost atomic.Int64
	var consumers sync.WaitGroup
	isFault := func() bool {
		return kills[0].Load() >= killsUntilFault && kills[1].Load() >= killsUntilFault
	}
	for began := time.Now(); time.Since(began) < burstLimit && !isFault(); time.Sleep(time.Second / uploadsPerSecond) {
		for i, m := range pressed {
			if used := m.memoryInUse(); used > memoryLimit {
				kills[i].Add(1)
				f.record.add("platform", "kills %s, which uses %d bytes", m.name, used)
				m.signal(syscall.SIGKILL)
				m.wait()
				if err := f.start(m); err != nil {
					return false, err
				}
			}
			consumers.Go(func() {
				if f.upload(m, size) {
					served.Add(1)
				} else {
					lost.Add(1)
				}
			})
		}
	}
	consumers.Wait()
	f.record.add("result", "kills %d and %d, %d requests served, %d not; Fault: %t", kills[0].Load(), kills[1].Load(), served.Load(), lost.Load(), isFault())
	fmt.Printf("killed for memory: %d and %d times; %d requests served, %d not\n", kills[0].Load(), kills[1].Load(), served.Load(), lost.Load())
	return isFault(), nil
}

// memoryInUse returns the resident bytes of the process of a machine.
func (m *machine) memoryInUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// slowBody is a body that is sent evenly over uploadTime.
type slowBody struct {
	size, sent int
	began      time.Time
}

// Read returns the next part once its time has come.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent == b.size {
		return 0, io.EOF
	}
	if b.sent == 0 {
		b.began = time.Now()
	}
	n := min(b.size-b.sent, len(p), max(1, b.size/100))
	for i := range n {
		p[i] = byte('a' + i%20)
	}
	b.sent += n
	time.Sleep(time.Until(b.began.Add(uploadTime * time.Duration(b.sent) / time.Duration(b.size))))
	return n, nil
}

// upload sends a request with a body of that many bytes, and reports whether it was served.
func (f *fleet) upload(m *machine, size int) bool {
	attempt := fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/records/2f", &slowBody{size: size})
	if err != nil {
		return false
	}
	request.Host = "jepu9.example"
	request.ContentLength = int64(size)
	request.Header.Set("Celeryvalve-Attempt-Id", attempt)
	request.Header.Set("Celeryvalve-Deadline-Remaining", "6000")
	request.Header.Set("Api-Key", apiKey)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	f.record.add("consumer", "%s POST of %d bytes at %s -> %d, error %v", attempt, size, m.name, status, err)
	return status == http.StatusOK
}
