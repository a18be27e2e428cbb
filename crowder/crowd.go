package crowder

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dialers is how many connections of a crowd are opened at the same time.
	dialers = 32
	// pieces is in how many pieces a client sends that sends piece by piece, and piecePause the time
	// between two of them, in which those of others come.
	pieces     = 8
	piecePause = 20 * time.Millisecond
	// Patience is how long a client waits for a server that does not accept or does not read.
	Patience = 2 * time.Second
)

// Client is one client of a crowd.
type Client struct {
	// Address is that of the server.
	Address string
	// Send writes what the client sends.
	Send func(w io.Writer)
	// Returns is how often the client connects again, and sends again, after it was disconnected.
	Returns int
}

// Alike returns n clients of one address that send alike.
func Alike(n int, address string, send func(io.Writer)) []Client {
	clients := make([]Client, n)
	for i := range clients {
		clients[i] = Client{Address: address, Send: send}
	}
	return clients
}

// Whole sends the text at once.
func Whole(text []byte) func(io.Writer) {
	return func(w io.Writer) { _, _ = w.Write(text) }
}

// ByPieces sends the text in pieces.
func ByPieces(text []byte) func(io.Writer) {
	return func(w io.Writer) {
		for i := range pieces {
			if _, err := w.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces]); err != nil {
				return
			}
			time.Sleep(piecePause)
		}
	}
}

// Crowd holds the connections of clients. It is safe for concurrent use.
type Crowd struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	left  bool
}

// Gather connects the clients and lets them send. It returns once each of them has sent what it has,
// or could not.
func Gather(clients []Client) *Crowd {
	c := &Crowd{conns: make(map[net.Conn]bool)}
	next := make(chan Client)
	var connecting, sending sync.WaitGroup
	for range dialers {
		connecting.Go(func() {
			for client := range next {
				if conn := c.connect(client); conn != nil {
					sending.Go(func() { client.Send(patientWriter{conn}) })
					go c.keepUp(client, conn)
				}
			}
		})
	}
	for _, client := range clients {
		next <- client
	}
	close(next)
	connecting.Wait()
	sending.Wait()
	return c
}

// connect returns a new connection of the client, or nil if it is refused or the crowd has left.
func (c *Crowd) connect(client Client) net.Conn {
	conn, err := net.DialTimeout("tcp4", client.Address, Patience)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		_ = conn.Close()
		return nil
	}
	c.conns[conn] = true
	return conn
}

// forget closes a connection that the server has closed.
func (c *Crowd) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// keepUp connects the client again each time that it is disconnected, as often as it returns.
func (c *Crowd) keepUp(client Client, conn net.Conn) {
	for n := client.Returns; n > 0 && conn != nil; n-- {
		_, _ = io.Copy(io.Discard, conn) // until the server closes the connection
		c.forget(conn)
		if conn = c.connect(client); conn != nil {
			client.Send(patientWriter{conn})
		}
	}
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.conns, c.left = nil, true
}

// patientWriter writes to a connection, and gives up once nothing is taken in for a while.
type patientWriter struct{ conn net.Conn }

// Write writes p.
func (w patientWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(Patience))
	return w.conn.Write(p)
}
