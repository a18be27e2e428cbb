package executor

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/router"
)

const (
	cacheRetryInterval = 10 * time.Second
	evictedAction      = "Evicted"
)

// cacheEvent holds the fields of an engine's cache event that the executor uses.
type cacheEvent struct {
	Sequence uint64
	Action   string
}

// cacheTracker estimates the number of blocks in an engine's prefix cache from the
// engine's cache events.
type cacheTracker struct {
	mu sync.Mutex
	// sequence is that of the last event, blocks the estimated number of cached blocks.
	sequence uint64
	blocks   uint64
	// hasEvicted reports that the cache has evicted a block, so it is full.
	hasEvicted bool
}

// record applies one event. Missed events count as stores until the cache first evicts
// a block, and as equal numbers of stores and evictions afterwards. A sequence that
// does not rise means that the engine restarted with an empty cache.
func (m *cacheTracker) record(e cacheEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Sequence <= m.sequence {
		m.sequence, m.blocks, m.hasEvicted = 0, 0, false
	}
	missed := e.Sequence - m.sequence - 1
	if m.sequence > 0 && !m.hasEvicted {
		m.blocks += missed
	}
	m.sequence = e.Sequence
	if e.Action != evictedAction {
		m.blocks++
		return
	}
	m.hasEvicted = true
	m.blocks -= min(m.blocks, 1)
}

func (m *cacheTracker) report() router.CacheReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return router.CacheReport{Sequence: m.sequence, Held: m.blocks}
}

// watchCache reads the engine's cache events until the executor stops. It reopens
// the event stream when that ends.
func (x *Executor) watchCache() {
	defer x.work.Done()
	for x.readCacheEvents(x.ctx) != nil {
		if x.sleep(x.ctx, cacheRetryInterval) != nil {
			return
		}
	}
}

// readCacheEvents records cache events until the event stream ends. It always returns
// an error.
func (x *Executor) readCacheEvents(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/events", x.cfg.Address), nil)
	if err != nil {
		return err
	}
	resp, err := x.pooledClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return explainer.New(explainer.NotFound, fmt.Sprintf("GET /events answered %d", resp.StatusCode),
			"no action is needed: requests are routed without knowledge of the cache")
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		var e cacheEvent
		if ok && json.Unmarshal([]byte(data), &e) == nil && e.Sequence > 0 {
			x.cache.record(e)
		}
	}
	return explainer.New(explainer.Unavailable, "the stream of cache events ended", "no action is needed: the executor reopens it")
}
