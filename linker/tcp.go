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
	// pieceBytes is how much of a stream is carried at once.
	pieceBytes = 16 << 10
	// piecesInFlight bounds what one connection has under way.
	piecesInFlight = 64
)

// flow is one forwarded TCP connection.
type flow struct {
	link   *Link
	client *net.TCPConn
	target *net.TCPConn
	cancel context.CancelFunc
	once   sync.Once
	silent chan struct{} // closed when the connection goes silent
}

type piece struct {
	data    []byte
	arrival time.Time
}

// ForwardTCP accepts connections until ctx ends.
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
	f.rest(ctx)
}

func (f *flow) close() {
	f.cancel()
	_ = f.client.Close()
	_ = f.target.Close()
}

func (f *flow) silence() {
	f.once.Do(func() { close(f.silent) })
}

// rest keeps a silent connection open until the link ends.
func (f *flow) rest(ctx context.Context) {
	select {
	case <-f.silent:
		<-ctx.Done()
	default:
	}
}

// pump carries one direction, and passes on a half close.
func (f *flow) pump(ctx context.Context, dst, src *net.TCPConn, d Direction) error {
	pieces := make(chan piece, piecesInFlight)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.deliver(ctx, dst, pieces) })
	err := f.collect(ctx, src, d, pieces)
	close(pieces)
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

// collect reads the source until it ends.
func (f *flow) collect(ctx context.Context, src *net.TCPConn, d Direction, pieces chan<- piece) error {
	for {
		data := make([]byte, pieceBytes)
		n, err := src.Read(data)
		if err != nil || f.isSilent() {
			return nil
		}
		arrival, err := f.link.carryStream(ctx, d, n)
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

// deliver writes each piece when it arrives.
func (f *flow) deliver(ctx context.Context, dst *net.TCPConn, pieces <-chan piece) error {
	for p := range pieces {
		if err := repeater.SleepUntil(ctx, f.link.clock, p.arrival); err != nil {
			return err
		}
		if err := f.link.awaitThaw(ctx); err != nil {
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
