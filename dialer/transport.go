package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
)

// Transport is an http.Transport that refuses answers as the package documentation says.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that behaves like t otherwise. It changes t, which must
// not be used by itself any more.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return guard(conn)
	}
	return &Transport{base: t}
}

// RoundTrip sends the request and returns the final response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var sent requestWrite
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { sent.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.end(info.Err) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return CheckNames(http.Header(header))
		},
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckFinal(response.StatusCode), CheckNames(response.Header)); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	if !IsFramed(response) && response.Body != http.NoBody {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: r.Context(), sent: &sent}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// IsFramed reports whether the response has a length or chunks, so that its end can be told
// from that of its connection.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}

// requestWrite follows the write of a request, which may begin anew on another connection.
type requestWrite struct {
	mu   sync.Mutex
	done chan struct{}
	err  error
}

func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = make(chan struct{}), nil
}

func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	close(w.done)
}

// wait returns the error of the write once it has ended.
func (w *requestWrite) wait(ctx context.Context) error {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// unframedBody ends with its connection. The server may have closed that before it had taken in
// the request, which only the write of the request shows.
type unframedBody struct {
	io.ReadCloser
	ctx  context.Context
	sent *requestWrite
}

// Read reads into p.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.sent.wait(b.ctx) != nil {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
