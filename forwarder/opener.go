package forwarder

import (
	"context"
	"net/netip"

	"celeryvalve/connector"
	"celeryvalve/explainer"
)

// Stream is a bidirectional stream of messages between the entry and an agent.
type Stream interface {
	// Send sends a message.
	Send(msg any) error
	// Receive waits for the next message.
	Receive(ctx context.Context) (any, error)
	// Cancel aborts the stream in both directions.
	Cancel()
}

// Opener opens streams to agents.
type Opener interface {
	// Open opens a stream and sends its first message.
	Open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error)
	// Replace drops the connection to addr, so that the next Open makes a new one.
	Replace(addr netip.AddrPort)
}

// open opens a stream. It returns an error after openTimeout even if the Opener still
// waits for another caller that dials the same address.
func (f *Forwarder) open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	opened := make(chan Stream)
	failed := make(chan error, 1)
	f.inBackground(func() {
		s, err := f.opener.Open(ctx, addr, first)
		if err != nil {
			failed <- err
			return
		}
		select {
		case opened <- s:
		case <-ctx.Done():
			s.Cancel()
		}
	})
	select {
	case s := <-opened:
		return s, nil
	case err := <-failed:
		return nil, err
	case <-ctx.Done():
		return nil, explainer.Wrap(ctx.Err(), explainer.Unavailable, "the agent can't be reached", "try another upstream")
	}
}

// cancelOnDone cancels the stream when ctx ends. The returned function cancels it
// immediately.
func cancelOnDone(ctx context.Context, s Stream) func() {
	stop := context.AfterFunc(ctx, s.Cancel)
	return func() {
		stop()
		s.Cancel()
	}
}

// NewOpener returns an Opener that opens streams on the endpoint.
func NewOpener(e *connector.Endpoint) Opener {
	return endpointOpener{endpoint: e}
}

type endpointOpener struct {
	endpoint *connector.Endpoint
}

func (o endpointOpener) Open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error) {
	s, err := o.endpoint.Open(ctx, addr, first)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (o endpointOpener) Replace(addr netip.AddrPort) {
	o.endpoint.Replace(addr)
}
