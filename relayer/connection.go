package relayer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"celeryvalve/dialer"
	"celeryvalve/identifier"
	"celeryvalve/reader"
)

const (
	connectTimeout = time.Second
	// userTimeout closes a connection whose sent bytes are not acknowledged in time,
	// because a host that lost power sends no reset.
	userTimeout         = 3 * time.Second
	readerSize          = 4 << 10
	writerSize          = 4 << 10
	maxWriteSize        = 64 << 10 // bytes of a body that are written at once
	maxEarlierResponses = 2        // responses to earlier attempts that are skipped before giving up
	// maxCarried is how many requests a connection carries before it is closed.
	maxCarried = 256
	// maxHeadSize limits the bytes in which the head of a response must be complete, with
	// the informational responses before it.
	maxHeadSize = 64 << 10
)

// errHeadTooLarge means that what an upstream sends is no head of a response.
var errHeadTooLarge = fmt.Errorf("the head of a response has more than %d bytes", maxHeadSize)

// connection is an HTTP/1.1 connection to an upstream. It carries one request at a time.
type connection struct {
	conn  net.Conn
	bound *headBound
	// onActivity is called when bytes were sent or received, unless it is nil.
	onActivity func()
	reader     *bufio.Reader
	writer     *bufio.Writer
	// idleSince is when the connection became idle, and idleTimeout is how long it may
	// then be reused. A timeout of 0 means that there is no limit.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
	// carried holds the hashes of the attempt ids of all requests on the connection. An
	// extra response to any of them may still arrive.
	carried []uint64
}

// dial opens a connection to the upstream within connectTimeout.
func dial(ctx context.Context, clock clockwork.Clock, addr netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := clock.AfterFunc(connectTimeout, cancel)
	defer timer.Stop()
	conn, err := dialer.Dial(ctx, &net.Dialer{Control: setUserTimeout, KeepAlive: -1}, addr.String())
	if err != nil {
		return nil, err
	}
	c := &connection{conn: conn, writer: bufio.NewWriterSize(conn, writerSize)}
	c.bound = &headBound{r: readerFunc(c.receive)}
	c.reader = bufio.NewReaderSize(c.bound, readerSize)
	return c, nil
}

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// receive reads from the connection.
func (c *connection) receive(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.noteActivity(n)
	return n, err
}

func (c *connection) noteActivity(n int) {
	if n > 0 && c.onActivity != nil {
		c.onActivity()
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, sockErr)
}

// reusable reports whether an idle connection may carry another request: it has carried
// fewer than maxCarried, its idle timeout has not passed, it is open, and no unsolicited
// bytes have arrived on it.
func (c *connection) reusable(now time.Time) bool {
	if len(c.carried) >= maxCarried || c.reader.Buffered() > 0 || (c.idleTimeout > 0 && now.Sub(c.idleSince) > c.idleTimeout) {
		return false
	}
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// carry records that a request of the attempt is sent on the connection.
func (c *connection) carry(attempt identifier.AttemptID) {
	c.carried = append(c.carried, xxhash.Sum64String(string(attempt)))
}

// hasCarried reports whether a request of the attempt was sent on the connection.
func (c *connection) hasCarried(attempt identifier.AttemptID) bool {
	return slices.Contains(c.carried, xxhash.Sum64String(string(attempt)))
}

// write sends the request. sent reports whether any byte may have reached the upstream.
func (c *connection) write(r *http.Request) (sent bool, err error) {
	counting := &countingWriter{connection: c}
	c.writer.Reset(counting)
	if err := r.Write(c.writer); err != nil {
		return counting.n > 0, err
	}
	err = c.writer.Flush()
	return counting.n > 0, err
}

// read reads the head of the response to the request and skips informational (1xx)
// responses. The error is a dialer.HeadError if a head is not one of HTTP.
func (c *connection) read(r *http.Request) (*http.Response, error) {
	c.bound.begin(maxHeadSize)
	defer c.bound.end()
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err == nil {
			err = dialer.CheckHead(response)
		}
		if err != nil {
			return nil, err
		}
		if !dialer.IsInformational(response.StatusCode) {
			return response, nil
		}
	}
}

// headBound reads from r, with an error once more than the bytes that begin allows were
// read before end.
type headBound struct {
	r io.Reader
	// memory is what the head is taken from, or nil.
	memory *reader.Reservation
	active bool
	left   int
}

func (b *headBound) begin(n int) { b.active, b.left = true, n }

func (b *headBound) end() { b.active = false }

// Read reads from r.
func (b *headBound) Read(p []byte) (int, error) {
	if !b.active {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	if b.memory != nil {
		if memoryErr := b.memory.Grow(n); memoryErr != nil {
			return 0, memoryErr
		}
	}
	return n, err
}

func (c *connection) close() {
	_ = c.conn.Close()
}

// reset closes the connection and withdraws what the upstream's host has not taken in yet. After
// a close it would be sent again until the host goes on, and the upstream would run a request that
// nobody waits for.
func (c *connection) reset() {
	if conn, ok := c.conn.(*dialer.Conn); ok {
		_ = conn.SetLinger(0)
	}
	c.close()
}

// countingWriter counts the bytes that are written to the connection.
type countingWriter struct {
	connection *connection
	n          int
}

// Write writes p to the connection, in parts that show its progress.
func (w *countingWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := w.connection.conn.Write(p[written:min(len(p), written+maxWriteSize)])
		w.connection.noteActivity(n)
		w.n += n
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
