package transferrer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// failure says why something could not be fetched.
type failure struct {
	reason     fetcher.Reason
	retryAfter time.Duration
	cause      error
}

func (f *failure) Error() string {
	if f.cause == nil {
		return string(f.reason)
	}
	return fmt.Sprintf("%s: %v", f.reason, f.cause)
}

func (f *failure) Unwrap() error {
	return f.cause
}

// failureOf returns err as a failure. Anything else counts as unreachable.
func failureOf(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	return &failure{reason: fetcher.Unreachable, cause: err}
}

// origin reads manifests and chunks from an HTTP server.
type origin struct {
	client *http.Client
	clock  clockwork.Clock
	// stall is how long a read may bring nothing.
	stall  time.Duration
	budget *budget

	mu    sync.Mutex
	etags map[string]string
	// changed is told about a file whose ETag is not what it was.
	changed func(url string)
}

// readPiece is how much is read between two looks at the budget, in bytes.
const readPiece = 64 << 10

// manifest reads the manifest and checks it against its pinned digest.
func (o *origin) manifest(ctx context.Context, source string, pinned identifier.Digest) (*verifier.Manifest, error) {
	data, err := o.get(ctx, fileURL(source, verifier.ManifestPath), "", verifier.MaxManifestSize)
	if err != nil {
		return nil, err
	}
	m, err := verifier.ParsePinned(data, pinned)
	if err != nil {
		return nil, &failure{reason: fetcher.Corrupt, cause: err}
	}
	return m, nil
}

// chunk reads the bytes of one chunk. The caller verifies them.
func (o *origin) chunk(ctx context.Context, source string, m *verifier.Manifest, l verifier.Location) ([]byte, error) {
	span := fmt.Sprintf("bytes=%d-%d", l.Offset, l.Offset+l.Size-1)
	return o.get(ctx, fileURL(source, m.Files[l.File].Path), span, int(l.Size))
}

func fileURL(source, path string) string {
	u := url.URL{Path: path}
	return strings.TrimSuffix(source, "/") + "/" + u.EscapedPath()
}

// get reads at most limit bytes of a file, or the range where span is set.
func (o *origin) get(ctx context.Context, file, span string, limit int) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := o.clock.AfterFunc(o.stall, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, file, nil)
	if err != nil {
		return nil, &failure{reason: fetcher.Missing, cause: err}
	}
	if span != "" {
		req.Header.Set("Range", span)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, &failure{reason: fetcher.Unreachable, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := o.checkStatus(resp, span); err != nil {
		return nil, err
	}
	o.noteETag(file, resp.Header.Get("Etag"))
	data, err := o.read(ctx, resp.Body, limit, watchdog)
	if err != nil {
		return nil, &failure{reason: fetcher.Stalled, cause: err}
	}
	return data, nil
}

// checkStatus turns a status other than success into a failure.
func (o *origin) checkStatus(resp *http.Response, span string) error {
	switch resp.StatusCode {
	case http.StatusPartialContent:
		return nil
	case http.StatusOK:
		if span == "" {
			return nil
		}
		return &failure{reason: fetcher.Missing, cause: errors.New("origin does not serve ranges")}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &failure{reason: fetcher.RateLimited, retryAfter: o.retryAfter(resp.Header.Get("Retry-After"))}
	case http.StatusNotFound, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
		return &failure{reason: fetcher.Missing, cause: errors.New(resp.Status)}
	}
	return &failure{reason: fetcher.Unreachable, cause: errors.New(resp.Status)}
}

// retryAfter reads a number of seconds or a date.
func (o *origin) retryAfter(text string) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil {
		return max(0, time.Duration(seconds)*time.Second)
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, at.Sub(o.clock.Now()))
	}
	return 0
}

// noteETag reports a file that changed under its name.
func (o *origin) noteETag(file, etag string) {
	o.mu.Lock()
	before, known := o.etags[file]
	o.etags[file] = etag
	o.mu.Unlock()
	if known && before != etag {
		o.changed(file)
	}
}

// read reads up to limit bytes inside the budget.
func (o *origin) read(ctx context.Context, body io.Reader, limit int, watchdog clockwork.Timer) ([]byte, error) {
	var data []byte
	buf := make([]byte, min(readPiece, limit+1))
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
		if err := o.budget.wait(ctx, n); err != nil {
			return nil, err
		}
		watchdog.Reset(o.stall)
	}
	return nil, errors.New("answer is longer than what was asked for")
}
