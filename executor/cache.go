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
	cacheRetryPause = 10 * time.Second
	evictedAction   = "Evicted"
)

// cacheEvent is the part of an engine's cache event that is read here.
type cacheEvent struct {
	Sequence uint64
	Action   string
}

// cacheMeter counts what an engine says of its prefix cache.
type cacheMeter struct {
	mu       sync.Mutex
	sequence uint64
	held     uint64
	evicting bool
}

// take adds one event. Events that were lost count as stores until the cache
// evicts, and as equal numbers of both afterwards.
func (m *cacheMeter) take(e cacheEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Sequence <= m.sequence {
		m.sequence, m.held, m.evicting = 0, 0, false
	}
	lost := e.Sequence - m.sequence - 1
	if m.sequence > 0 && !m.evicting {
		m.held += lost
	}
	m.sequence = e.Sequence
	if e.Action != evictedAction {
		m.held++
		return
	}
	m.evicting = true
	m.held -= min(m.held, 1)
}

func (m *cacheMeter) report() router.CacheReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return router.CacheReport{Sequence: m.sequence, Held: m.held}
}

// watchCache reads the engine's cache events for as long as the agent runs.
func (x *Executor) watchCache() {
	defer x.work.Done()
	for x.readCacheEvents(x.ctx) != nil {
		if x.sleep(x.ctx, cacheRetryPause) != nil {
			return
		}
	}
}

// readCacheEvents returns when the stream ends, which is always an error.
func (x *Executor) readCacheEvents(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/events", x.cfg.Address), nil)
	if err != nil {
		return err
	}
	resp, err := x.shared.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return explainer.New(explainer.NotFound, fmt.Sprintf("GET /events answered %d", resp.StatusCode),
			"nothing need be done: requests are spread without knowledge of the cache")
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		var e cacheEvent
		if ok && json.Unmarshal([]byte(data), &e) == nil && e.Sequence > 0 {
			x.cache.take(e)
		}
	}
	return explainer.New(explainer.Unavailable, "the stream of cache events ended", "nothing need be done: it is opened again")
}
