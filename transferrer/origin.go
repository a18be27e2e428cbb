package transferrer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"celeryvalve/dialer"

	"github.com/jonboulle/clockwork"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/verifier"
)

// fetchError is the error of a failed fetch. It carries the reason for the reducer,
// and the delay before a retry where the source asked for one.
type fetchError struct {
	reason     fetcher.Reason
	retryAfter time.Duration
	cause      error
}

func (f *fetchError) Error() string {
	if f.cause == nil {
		return string(f.reason)
	}
	return fmt.Sprintf("%s: %v", f.reason, f.cause)
}

func (f *fetchError) Unwrap() error {
	return f.cause
}

// asFetchError returns err as a fetchError. Any other error has the reason
// Unreachable.
func asFetchError(err error) *fetchError {
	var f *fetchError
	if errors.As(err, &f) {
		return f
	}
	return &fetchError{reason: fetcher.Unreachable, cause: err}
}

// origin reads manifests and chunks from an HTTP server.
type origin struct {
	client *http.Client
	clock  clockwork.Clock
	// stallTimeout is how long a read may receive no data.
	stallTimeout time.Duration
	limiter      *rateLimiter

	mu    sync.Mutex
	etags map[string]string
	// onETagChange is called with the URL of a file whose ETag differs from the one
	// of the previous read.
	onETagChange func(url string)
}

func newOriginClient() *http.Client {
	return &http.Client{Transport: dialer.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// readBufferSize is how many bytes are read between two waits for the rate limiter.
const readBufferSize = 64 << 10

// manifest reads the manifest and verifies it against its pinned digest.
func (o *origin) manifest(ctx context.Context, source string, pinned identifier.Digest) (*verifier.Manifest, error) {
	data, err := o.get(ctx, fileURL(source, verifier.ManifestPath), "", verifier.MaxManifestSize)
	if err != nil {
		return nil, err
	}
	m, err := verifier.ParsePinned(data, pinned)
	if err != nil {
		return nil, &fetchError{reason: fetcher.Corrupt, cause: err}
	}
	return m, nil
}

// chunk reads the bytes of one chunk. The caller verifies them.
func (o *origin) chunk(ctx context.Context, source string, m *verifier.Manifest, l verifier.ChunkLocation) ([]byte, error) {
	byteRange := fmt.Sprintf("bytes=%d-%d", l.Offset, l.Offset+l.Size-1)
	return o.get(ctx, fileURL(source, m.Files[l.File].Path), byteRange, int(l.Size))
}

func fileURL(source, path string) string {
	u := url.URL{Path: path}
	return strings.TrimSuffix(source, "/") + "/" + u.EscapedPath()
}

// get reads a file, or the part of it in byteRange unless that is empty. It returns
// an error if the response is longer than limit bytes.
func (o *origin) get(ctx context.Context, file, byteRange string, limit int) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := o.clock.AfterFunc(o.stallTimeout, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, file, nil)
	if err != nil {
		return nil, &fetchError{reason: fetcher.Missing, cause: err}
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, &fetchError{reason: fetcher.Unreachable, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := o.checkStatus(resp, byteRange); err != nil {
		return nil, err
	}
	o.recordETag(file, resp.Header.Get("Etag"))
	data, err := o.read(ctx, resp.Body, limit, watchdog)
	if err != nil {
		return nil, &fetchError{reason: fetcher.Stalled, cause: err}
	}
	return data, nil
}

// checkStatus returns a fetchError for an unsuccessful status, and for a whole file
// in answer to a range request.
func (o *origin) checkStatus(resp *http.Response, byteRange string) error {
	switch resp.StatusCode {
	case http.StatusPartialContent:
		return nil
	case http.StatusOK:
		if byteRange == "" {
			return nil
		}
		return &fetchError{reason: fetcher.Missing, cause: errors.New("origin does not support range requests")}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &fetchError{reason: fetcher.RateLimited, retryAfter: o.retryAfter(resp.Header)}
	case http.StatusNotFound, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
		return &fetchError{reason: fetcher.Missing, cause: errors.New(resp.Status)}
	}
	return &fetchError{reason: fetcher.Unreachable, cause: errors.New(resp.Status)}
}

// retryAfter parses a Retry-After header, which is a number of seconds or a date.
// It returns 0 for any other value.
func (o *origin) retryAfter(h http.Header) time.Duration {
	if wait := limiter.ParseRetryAfter(h.Values("Retry-After")); wait > 0 {
		return wait
	}
	if at, err := http.ParseTime(h.Get("Retry-After")); err == nil {
		return max(0, at.Sub(o.clock.Now()))
	}
	return 0
}

// recordETag records the ETag of a file and calls onETagChange if it changed.
func (o *origin) recordETag(file, etag string) {
	o.mu.Lock()
	before, known := o.etags[file]
	o.etags[file] = etag
	o.mu.Unlock()
	if known && before != etag {
		o.onETagChange(file)
	}
}

// read reads a response of up to limit bytes at the rate of the limiter. The
// watchdog does not run during waits for the limiter.
func (o *origin) read(ctx context.Context, body io.Reader, limit int, watchdog clockwork.Timer) ([]byte, error) {
	var data []byte
	buf := make([]byte, min(readBufferSize, limit+1))
	for len(data) <= limit {
		n, err := body.Read(buf)
		data = append(data, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		watchdog.Stop()
		if err := o.limiter.wait(ctx, n); err != nil {
			return nil, err
		}
		watchdog.Reset(o.stallTimeout)
	}
	return nil, errors.New("response is longer than requested")
}
