package dialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// Conn is a TCP connection whose end is an error after a failed write. It is safe for
// concurrent use, as a net.Conn is.
type Conn struct {
	*net.TCPConn

	mu     sync.Mutex // held during a write
	failed bool
}

// Dial opens a TCP connection over IPv4 to the address.
func Dial(ctx context.Context, d *net.Dialer, address string) (*Conn, error) {
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return guard(conn)
}

func guard(conn net.Conn) (*Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("the connection to %s is a %T, not a TCP connection", conn.RemoteAddr(), conn), conn.Close())
	}
	return &Conn{TCPConn: tcp}, nil
}

// Write writes p.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read reads into p. The error at the end is io.ErrUnexpectedEOF instead of io.EOF if a
// write has failed. A write in progress is waited for: it may be the one that takes the error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadFrom writes what it reads from r, by Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo writes to w what it reads, by Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
