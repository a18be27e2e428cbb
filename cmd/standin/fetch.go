package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// fetchPiece is how much a reader takes from its link at once.
const fetchPiece = 16 << 10

type fetchCommand struct {
	URL    string  `help:"URL of the version's folder at the origin." required:""`
	Count  int     `help:"How many readers fetch a copy each." default:"1"`
	Rate   float64 `help:"Rate of each reader, in bytes a second; 0 is unlimited." default:"0"`
	Digest string  `help:"Digest of the manifest." required:""`
}

// fetched is what the readers did.
type fetched struct {
	Readers int
	Seconds float64
	Bytes   identifier.ByteCount
}

// Run fetches every copy straight from the origin, which is the baseline that a
// transfer between instances is compared with.
func (c *fetchCommand) Run(env *environment) error {
	pinned, err := identifier.ParseDigest(c.Digest)
	if err != nil {
		return err
	}
	start := env.clock.Now()
	group, ctx := errgroup.WithContext(env.ctx)
	sizes := make([]identifier.ByteCount, c.Count)
	for i := range c.Count {
		group.Go(func() error {
			n, err := c.fetchCopy(ctx, pinned)
			sizes[i] = n
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	result := fetched{Readers: c.Count, Seconds: env.clock.Since(start).Seconds()}
	for _, n := range sizes {
		result.Bytes += n
	}
	return json.NewEncoder(env.out).Encode(result)
}

// fetchCopy reads and verifies one whole copy.
func (c *fetchCommand) fetchCopy(ctx context.Context, pinned identifier.Digest) (identifier.ByteCount, error) {
	limit := rate.NewLimiter(rate.Inf, fetchPiece)
	if c.Rate > 0 {
		limit = rate.NewLimiter(rate.Limit(c.Rate), fetchPiece)
	}
	data, err := c.get(ctx, verifier.ManifestPath, limit)
	if err != nil {
		return 0, err
	}
	manifest, err := verifier.ParsePinned(data, pinned)
	if err != nil {
		return 0, err
	}
	for _, file := range manifest.Files {
		data, err := c.get(ctx, file.Path, limit)
		if err != nil {
			return 0, err
		}
		if identifier.DigestOf(data) != file.Digest {
			return 0, explainer.New(explainer.Corrupt, "file "+file.Path+" fails its digest", "check the origin")
		}
	}
	return manifest.Size(), nil
}

// get reads one file at the reader's rate, and waits where the store says so.
func (c *fetchCommand) get(ctx context.Context, path string, limit *rate.Limiter) ([]byte, error) {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.URL, "/")+"/"+path, nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusTooManyRequests {
			_ = resp.Body.Close()
			if err := pause(ctx, resp.Header.Get("Retry-After")); err != nil {
				return nil, err
			}
			continue
		}
		data, err := io.ReadAll(&limitedReader{ctx: ctx, r: resp.Body, limit: limit})
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", path, resp.Status)
		}
		return data, err
	}
}

// pause waits as long as the header says.
func pause(ctx context.Context, retryAfter string) error {
	d, err := time.ParseDuration(retryAfter + "s")
	if err != nil {
		return err
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// limitedReader reads no faster than its limit.
type limitedReader struct {
	ctx   context.Context
	r     io.Reader
	limit *rate.Limiter
}

// Read reads at most one piece.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p[:min(len(p), fetchPiece)])
	if waitErr := l.limit.WaitN(l.ctx, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
