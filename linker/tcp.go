package linker

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"celeryvalve/repeater"
)

const (
	// pieceBytes is the maximum size of a piece of a TCP stream.
	pieceBytes = 16 << 10
	// piecesInFlight limits the pieces that are in transit in one direction of a TCP
	// connection.
	piecesInFlight = 64
)

// flow is one forwarded TCP connection.
type flow struct {
	link        *Link
	client      *net.TCPConn
	target      *net.TCPConn
	cancel      context.CancelFunc
	silenceOnce sync.Once
	silent      chan struct{} // closed when the connection is silenced
}

// piece is a part of a TCP stream, or a UDP packet, and when it arrives at the other
// end of the link.
type piece struct {
	data    []byte
	arrival time.Time
}

// ForwardTCP accepts and forwards connections until ctx ends. It returns an error if it
// can't listen on f.Listen or can't accept a connection.
func (l *Link) ForwardTCP(ctx context.Context, f Forward) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.Listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go l.serveTCP(ctx, conn.(*net.TCPConn), f)
	}
}

func (l *Link) serveTCP(ctx context.Context, client *net.TCPConn, fw Forward) {
	defer func() { _ = client.Close() }()
	if l.Settings().Cut {
		return
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", fw.Target)
	if err != nil {
		return
	}
	target := conn.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flow{link: l, client: client, target: target, cancel: cancel, silent: make(chan struct{})}
	if !l.add(f) {
		return
	}
	defer l.remove(f)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	group := errgroup.Group{}
	group.Go(func() error { return f.pump(ctx, target, client, fw.direction()) })
	group.Go(func() error { return f.pump(ctx, client, target, fw.direction().reversed()) })
	_ = group.Wait()
	f.holdIfSilent(ctx)
}

func (f *flow) close() {
	f.cancel()
	_ = f.client.Close()
	_ = f.target.Close()
}

func (f *flow) silence() {
	f.silenceOnce.Do(func() { close(f.silent) })
}

// holdIfSilent keeps a silenced connection open until ctx ends, which a cut causes as
// well.
func (f *flow) holdIfSilent(ctx context.Context) {
	select {
	case <-f.silent:
		<-ctx.Done()
	default:
	}
}

// pump forwards the data of one direction. If src closes its sending direction, pump
// closes that of dst.
func (f *flow) pump(ctx context.Context, dst, src *net.TCPConn, d Direction) error {
	pieces := make(chan piece, piecesInFlight)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.writePieces(ctx, dst, pieces) })
	err := f.readPieces(ctx, src, d, pieces)
	close(pieces)
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

// readPieces reads src and queues its data until src ends, an error occurs or the
// connection is silenced.
func (f *flow) readPieces(ctx context.Context, src *net.TCPConn, d Direction, pieces chan<- piece) error {
	for {
		data := make([]byte, pieceBytes)
		n, err := src.Read(data)
		if err != nil || f.isSilent() {
			return nil
		}
		arrival, err := f.link.transmitStream(ctx, d, n)
		if err != nil {
			return err
		}
		select {
		case pieces <- piece{data: data[:n], arrival: arrival}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writePieces writes each piece to dst at its arrival time.
func (f *flow) writePieces(ctx context.Context, dst *net.TCPConn, pieces <-chan piece) error {
	for p := range pieces {
		if err := repeater.SleepUntil(ctx, f.link.clock, p.arrival); err != nil {
			return err
		}
		if err := f.link.waitWhileFrozen(ctx); err != nil {
			return err
		}
		if f.isSilent() {
			return nil
		}
		if _, err := dst.Write(p.data); err != nil {
			f.close()
			return err
		}
	}
	if f.isSilent() {
		return nil
	}
	return dst.CloseWrite()
}

func (f *flow) isSilent() bool {
	select {
	case <-f.silent:
		return true
	default:
		return false
	}
}
