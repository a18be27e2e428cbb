package connector

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	lengthSize                        = 4
	cancelled    quic.StreamErrorCode = 1
	outboxLength                      = 256
	postTimeout                       = 5 * time.Second
	// firstFrameSize is what is allocated for a frame before its bytes come, at most.
	firstFrameSize = 64 << 10
)

// traffic counts the bytes of the frames in each direction, with their length prefixes.
type traffic struct {
	sent, received atomic.Int64
}

// Traffic returns the bytes of all frames sent and received since the start, with
// their length prefixes.
func (e *Endpoint) Traffic() (sent, received identifier.ByteCount) {
	return identifier.ByteCount(e.traffic.sent.Load()), identifier.ByteCount(e.traffic.received.Load())
}

// Stream is one exchange of messages with a peer. One goroutine may call Send while
// another calls Receive, but neither may be called by two goroutines at once.
type Stream struct {
	endpoint *Endpoint
	raw      *quic.Stream
	peer     Peer
	release  func()

	mu sync.Mutex
}

func newStream(e *Endpoint, raw *quic.Stream, peer Peer) *Stream {
	return &Stream{endpoint: e, raw: raw, peer: peer, release: func() {}}
}

// Peer returns the identity and address of the peer.
func (s *Stream) Peer() Peer {
	return s.peer
}

// Send sends one message. It returns an error of kind InvalidInput if the message can't be
// encoded, as one that exceeds encoder.MaxFrameSize, and of kind Unavailable if the stream has
// failed.
func (s *Stream) Send(msg any) error {
	data, err := s.endpoint.codec.Encode(s.endpoint.versions.Current(), msg)
	if err != nil {
		return err
	}
	buf := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	buf = append(buf, data...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.raw.Write(buf); err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "the stream failed while sending", "try again on a new stream")
	}
	s.endpoint.traffic.sent.Add(int64(len(buf)))
	return nil
}

// Receive returns the next message, a pointer to the type of its kind. It returns
// io.EOF after the peer's last message. For a message that can't be decoded, it returns an
// error for which IsUnreadable holds, and the stream goes on. If ctx ends during the call, the
// stream can't receive any more messages.
func (s *Stream) Receive(ctx context.Context) (any, error) {
	_, msg, err := s.receive(ctx)
	return msg, err
}

// ReceiveReadable returns the next message that can be decoded. It is for streams whose messages
// hold without each other.
func (s *Stream) ReceiveReadable(ctx context.Context) (any, error) {
	for {
		msg, err := s.Receive(ctx)
		if !IsUnreadable(err) {
			return msg, err
		}
	}
}

func (s *Stream) receive(ctx context.Context) (encoder.Header, any, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.raw.SetReadDeadline(time.Unix(0, 1)) })
	defer stop()
	var length [lengthSize]byte
	if _, err := io.ReadFull(s.raw, length[:]); err != nil {
		return encoder.Header{}, nil, receiveError(ctx, err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if identifier.ByteCount(size) > encoder.MaxFrameSize {
		return encoder.Header{}, nil, explainer.New(explainer.Corrupt, "the received frame exceeds the size limit",
			"check that both processes run compatible releases")
	}
	data, err := readFrame(s.raw, int(size))
	if err != nil {
		return encoder.Header{}, nil, receiveError(ctx, err)
	}
	s.endpoint.traffic.received.Add(int64(len(data)) + lengthSize)
	header, msg, err := s.endpoint.codec.Decode(data)
	if err != nil {
		s.endpoint.unreadable.note(s.peer, header.Kind, err)
		return header, nil, unreadableError{err}
	}
	s.endpoint.unreadable.noteLeftOut(s.peer, header)
	s.endpoint.versions.Observe(s.peer.Address, header.ConfigurationVersion)
	return header, msg, nil
}

// readFrame reads a frame of size bytes. It allocates as they come, since a peer may announce a
// large frame on each of many streams and send none.
func readFrame(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, 0, min(size, firstFrameSize))
	for {
		n, err := io.ReadFull(r, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || len(data) == size {
			return data, err
		}
		data = append(make([]byte, 0, min(size, 2*cap(data))), data...)
	}
}

func receiveError(ctx context.Context, err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return explainer.Wrap(err, explainer.Unavailable, "the stream failed while receiving", "try again on a new stream")
}

// IsRefused reports whether the peer reset the stream before it answered, as with a message of a kind that it does
// not know.
func IsRefused(err error) bool {
	var reset *quic.StreamError
	return errors.As(err, &reset) && reset.Remote
}

// CloseSend closes the sending direction. The peer's Receive returns io.EOF after the
// messages sent so far.
func (s *Stream) CloseSend() error {
	return s.raw.Close()
}

// Cancel aborts both directions. Messages that were sent may not be delivered.
func (s *Stream) Cancel() {
	s.raw.CancelRead(cancelled)
	s.raw.CancelWrite(cancelled)
	s.release()
}

// finish implements Close.
func (s *Stream) finish() {
	_ = s.raw.Close()
	s.raw.CancelRead(cancelled)
	s.release()
}

// Close closes the stream. Messages that were sent are still delivered. Messages that
// were not read are dropped.
func (s *Stream) Close() {
	s.finish()
}

// Open opens a stream to addr and sends its first message. It returns the error of ctx if that ends before the
// message is on its way.
func (e *Endpoint) Open(ctx context.Context, addr netip.AddrPort, first any) (*Stream, error) {
	s, err := e.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := s.sendWithin(ctx, first); err != nil {
		s.Cancel()
		return nil, err
	}
	return s, nil
}

// sendWithin sends one message, or returns the error of ctx once that ends. A peer that acknowledges nothing holds up
// a message that is larger than the congestion window.
func (s *Stream) sendWithin(ctx context.Context, msg any) error {
	stop := context.AfterFunc(ctx, func() { _ = s.raw.SetWriteDeadline(time.Unix(0, 1)) })
	err := s.Send(msg)
	if !stop() {
		return ctx.Err()
	}
	return err
}

// Call opens a stream to addr, sends the request and returns the answer. It returns an
// error of kind Unavailable if the peer closes the stream without an answer.
func (e *Endpoint) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	s, err := e.Open(ctx, addr, request)
	if err != nil {
		return nil, err
	}
	defer s.finish()
	// Closing fails if the peer has answered already and reads no more. If the connection is
	// lost, receiving fails as well.
	_ = s.CloseSend()
	answer, err := s.Receive(ctx)
	if errors.Is(err, io.EOF) {
		return nil, explainer.New(explainer.Unavailable, "the peer closed the stream without an answer", "try again")
	}
	return answer, err
}

// Post queues msg to be sent to addr and returns at once. Messages to one address are
// sent in order. Messages are dropped without an error if addr can't be reached or if
// outboxLength messages to it are queued already.
func (e *Endpoint) Post(addr netip.AddrPort, msg any) {
	e.mu.Lock()
	outbox := e.outboxes[addr]
	if outbox == nil {
		outbox = make(chan any, outboxLength)
		e.outboxes[addr] = outbox
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			e.drainOutbox(addr, outbox)
		}()
	}
	e.mu.Unlock()
	select {
	case outbox <- msg:
	default:
	}
}

func (e *Endpoint) drainOutbox(addr netip.AddrPort, outbox <-chan any) {
	var s *Stream
	for {
		select {
		case <-e.ctx.Done():
			return
		case msg := <-outbox:
			s = e.post(addr, s, msg)
		}
	}
}

// post sends msg on s, or on a new stream if s is nil or has failed. It returns the
// stream for the next message, or nil if msg could not be sent.
func (e *Endpoint) post(addr netip.AddrPort, s *Stream, msg any) *Stream {
	if s != nil {
		if err := s.Send(msg); err == nil {
			return s
		}
		s.Cancel()
	}
	ctx, cancel := context.WithTimeout(e.ctx, postTimeout)
	defer cancel()
	s, err := e.Open(ctx, addr, msg)
	if err != nil {
		return nil
	}
	return s
}
