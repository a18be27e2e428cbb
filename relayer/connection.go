package relayer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connectTimeout = time.Second
	// userTimeout ends a connection whose sent bytes were not acknowledged: a host
	// without power says nothing.
	userTimeout   = 3 * time.Second
	readerSize    = 4 << 10
	writerSize    = 4 << 10
	earlyResponse = 2 // how many answers to earlier requests are passed over
)

// connection carries one request at a time to one upstream.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince and idleLimit bound the reuse of an idle connection.
	idleSince time.Time
	idleLimit time.Duration
	used      bool
}

func dial(ctx context.Context, addr netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dialer := net.Dialer{Control: setUserTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	return &connection{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, readerSize),
		writer: bufio.NewWriterSize(conn, writerSize),
	}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, failure)
}

// clean reports whether an idle connection may carry another request: it is open
// and holds no byte that nobody asked for.
func (c *connection) clean(now time.Time) bool {
	if c.reader.Buffered() > 0 || (c.idleLimit > 0 && now.Sub(c.idleSince) > c.idleLimit) {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends the request. sent reports whether any byte may have left.
func (c *connection) write(r *http.Request) (sent bool, err error) {
	counting := &countingWriter{conn: c.conn}
	c.writer.Reset(counting)
	if err := r.Write(c.writer); err != nil {
		return counting.n > 0, err
	}
	err = c.writer.Flush()
	return counting.n > 0, err
}

// read reads the head of the answer to the request, past informational ones.
func (c *connection) read(r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (c *connection) close() {
	_ = c.conn.Close()
}

// countingWriter counts what was handed to the connection.
type countingWriter struct {
	conn net.Conn
	n    int
}

// Write hands p to the connection.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.n += n
	return n, err
}
