package acceptor

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// lineMemory is what a line of a head takes beside its bytes: an entry of a map with a key of its
	// own and a list of values.
	lineMemory = 160
	// byteMemory is what a byte of a head takes: in the buffer that it is read from, and in a value.
	byteMemory = 2
	// readAhead is how much net/http reads at once, so that a head may end before it.
	readAhead = 4 << 10
	// refusalTimeout is how long a client may take to read why its head is refused, and maxDiscarded
	// how many further bytes of it are read meanwhile. A connection that is closed before these are
	// read is reset, and the client may lose the answer.
	refusalTimeout = 500 * time.Millisecond
	maxDiscarded   = 1 << 20
	// refusedRetryAfter is when a client whose head found no memory may come again, in seconds.
	refusedRetryAfter = 1

	noMemoryProblem = "there is no memory left for the headers (send the request again after Retry-After)"
)

// headSize is the size of what has been read of a head.
type headSize struct {
	bytes, lines int
}

// memory returns how many bytes a head of the size takes.
func (h headSize) memory() int {
	return byteMemory*h.bytes + lineMemory*h.lines
}

// refusal is the reason why a head is not read on, and the status that says so.
type refusal struct {
	status  int
	problem string
}

// countHead counts what was read of a head, and reserves its memory. It returns a refusal if the head
// exceeds its limit or finds no memory.
func (c *Conn) countHead(read []byte) *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Head || len(read) == 0 {
		return nil
	}
	more := headSize{bytes: len(read), lines: bytes.Count(read, []byte{'\n'})}
	c.head.bytes += more.bytes
	c.head.lines += more.lines
	if limit := c.server.cfg.Limits().HeaderBytes; limit > 0 && c.head.bytes > limit+readAhead {
		c.server.meters.headsTooLarge.Inc()
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the headers have more than %d bytes (send smaller ones)", limit)}
	}
	if c.memory.Grow(more.memory()) != nil {
		c.server.meters.headsWithoutMemory.Inc()
		return &refusal{http.StatusServiceUnavailable, noMemoryProblem}
	}
	return nil
}

// releaseHead gives back what the head took.
func (c *Conn) releaseHead() {
	c.memory.Shrink(c.head.memory())
	c.head = headSize{}
}

// refuse answers a head that has not been read to its end, and returns the error that ends the
// connection.
func (c *Conn) refuse(r *refusal) error {
	c.pass(Head, Refused)
	if !c.server.encrypted {
		c.writeRefusal(r)
	}
	// net/http answers errors other than those of the network.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errors.New(r.problem)}
}

// writeRefusal sends the answer to a head, which has not run, and gives the client some time to read
// it. Errors mean that the client has left.
func (c *Conn) writeRefusal(r *refusal) {
	retryAfter := ""
	if r.status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", refusedRetryAfter)
	}
	body := fmt.Sprintf("{\"error\":%q}\n", r.problem)
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		r.status, http.StatusText(r.status), len(body), retryAfter, body)
	if err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxDiscarded))
}

// reserveHead makes what is reserved that which the head of a request takes: as it was read, a part of
// the body may have come with it, or nothing was reserved as it came behind another request. It returns
// false if there is no memory.
func (c *Conn) reserveHead(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := sizeOf(r)
	more := size.memory() - c.head.memory()
	if more > 0 && c.memory.Grow(more) != nil {
		return false
	}
	if more < 0 {
		c.memory.Shrink(-more)
	}
	c.head = size
	return true
}

// sizeOf returns the size of the head of a request, but for its host and what separates its parts.
func sizeOf(r *http.Request) headSize {
	size := headSize{bytes: len(r.Method) + len(r.RequestURI), lines: 1}
	for name, values := range r.Header {
		for _, v := range values {
			size.bytes += len(name) + len(v)
			size.lines++
		}
	}
	return size
}
