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
)

// traffic counts the bytes of frames, both ways.
type traffic struct {
	sent, received atomic.Int64
}

// Traffic returns the bytes of all frames sent and received so far.
func (e *Endpoint) Traffic() (sent, received identifier.ByteCount) {
	return identifier.ByteCount(e.traffic.sent.Load()), identifier.ByteCount(e.traffic.received.Load())
}

// Stream is one exchange of messages with a peer. Send and Receive may run at
// the same time; each of them is for one goroutine at a time.
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

// Peer returns the other end.
func (s *Stream) Peer() Peer {
	return s.peer
}

// Send writes one message.
func (s *Stream) Send(msg any) error {
	data, err := s.endpoint.codec.Encode(s.endpoint.versions.Current(), msg)
	if err != nil {
		return err
	}
	if identifier.ByteCount(len(data)) > encoder.MaxFrame {
		return explainer.New(explainer.InvalidInput, "the message is larger than a frame may be", "send it in parts")
	}
	buf := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	buf = append(buf, data...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.raw.Write(buf); err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "the stream broke while sending", "try again on a new stream")
	}
	s.endpoint.traffic.sent.Add(int64(len(buf)))
	return nil
}

// Receive reads the next message. It returns io.EOF after the peer's CloseSend.
func (s *Stream) Receive(ctx context.Context) (any, error) {
	_, msg, err := s.receive(ctx)
	return msg, err
}

func (s *Stream) receive(ctx context.Context) (encoder.Header, any, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.raw.SetReadDeadline(time.Unix(0, 1)) })
	defer stop()
	var length [lengthSize]byte
	if _, err := io.ReadFull(s.raw, length[:]); err != nil {
		return encoder.Header{}, nil, receiveError(ctx, err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if identifier.ByteCount(size) > encoder.MaxFrame {
		return encoder.Header{}, nil, explainer.New(explainer.Corrupt, "the frame is larger than the limit",
			"check that both processes run compatible releases")
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(s.raw, data); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return encoder.Header{}, nil, receiveError(ctx, err)
	}
	s.endpoint.traffic.received.Add(int64(len(data)) + lengthSize)
	header, msg, err := s.endpoint.codec.Decode(data)
	if err != nil {
		return header, nil, err
	}
	s.endpoint.versions.Observe(s.peer.Address, header.ConfigurationVersion)
	return header, msg, nil
}

func receiveError(ctx context.Context, err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return explainer.Wrap(err, explainer.Unavailable, "the stream broke while receiving", "try again on a new stream")
}

// CloseSend tells the peer that no message follows.
func (s *Stream) CloseSend() error {
	return s.raw.Close()
}

// Cancel gives up both directions at once.
func (s *Stream) Cancel() {
	s.raw.CancelRead(cancelled)
	s.raw.CancelWrite(cancelled)
	s.release()
}

// finish ends a served stream: what was sent is delivered, what is unread is dropped.
func (s *Stream) finish() {
	_ = s.raw.Close()
	s.raw.CancelRead(cancelled)
	s.release()
}

// Close ends the stream: what was sent is delivered, what is unread is dropped.
func (s *Stream) Close() {
	s.finish()
}

// Open opens a stream to addr and sends its first message.
func (e *Endpoint) Open(ctx context.Context, addr netip.AddrPort, first any) (*Stream, error) {
	s, err := e.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := s.Send(first); err != nil {
		s.Cancel()
		return nil, err
	}
	return s, nil
}

// Call sends one request to addr and returns the one answer.
func (e *Endpoint) Call(ctx context.Context, addr netip.AddrPort, request any) (any, error) {
	s, err := e.Open(ctx, addr, request)
	if err != nil {
		return nil, err
	}
	defer s.finish()
	if err := s.CloseSend(); err != nil {
		return nil, err
	}
	answer, err := s.Receive(ctx)
	if errors.Is(err, io.EOF) {
		return nil, explainer.New(explainer.Unavailable, "the peer ended the call without an answer", "try again")
	}
	return answer, err
}

// Post sends msg to addr without waiting. Messages to one address stay in
// order; they are dropped when the address can't be reached or falls behind.
func (e *Endpoint) Post(addr netip.AddrPort, msg any) {
	e.mu.Lock()
	outbox := e.outboxes[addr]
	if outbox == nil {
		outbox = make(chan any, outboxLength)
		e.outboxes[addr] = outbox
		e.serving.Add(1)
		go func() {
			defer e.serving.Done()
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

// post sends msg on s, or on a new stream when there is none or s broke.
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
