package imitator

import (
	"container/list"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

const (
	// CacheBlockBytes is the length of prompt that one cache block covers.
	CacheBlockBytes = 64
	// eventBuffer is how many events a slow reader may lag before it loses some.
	eventBuffer = 256
)

// CacheAction says what happened to a cache block.
type CacheAction string

// The actions on cache blocks.
const (
	Stored  CacheAction = "Stored"
	Evicted CacheAction = "Evicted"
)

// CacheBlock is one block of a prompt. Its digest covers the weights and all
// blocks before it, so equal digests mean an equal prefix.
type CacheBlock struct {
	Block identifier.Digest
	// Parent is the block before it, or the digest of the weights' name.
	Parent identifier.Digest
	Text   string
}

// CacheEvent tells of one block. Sequence numbers have gaps where events are lost.
type CacheEvent struct {
	Sequence uint64
	Action   CacheAction
	CacheBlock
	at time.Time
}

// BlocksOf returns the whole blocks of the prompt under the weights.
func BlocksOf(served Served, prompt string) []CacheBlock {
	var blocks []CacheBlock
	parent := identifier.DigestOf([]byte(served.String()))
	for len(prompt) >= CacheBlockBytes {
		text := prompt[:CacheBlockBytes]
		block := identifier.DigestOf(append(parent[:], text...))
		blocks = append(blocks, CacheBlock{Block: block, Parent: parent, Text: text})
		parent = block
		prompt = prompt[CacheBlockBytes:]
	}
	return blocks
}

// prefixCache keeps the least recently used blocks of prompts, and publishes
// what it stores and evicts, late and with gaps.
type prefixCache struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	rng      *rand.Rand
	capacity int
	lag      time.Duration
	loss     float64
	recent   *list.List
	blocks   map[identifier.Digest]*list.Element
	sequence uint64
	readers  map[chan CacheEvent]bool
}

func newPrefixCache(cfg EngineConfig, clock clockwork.Clock) *prefixCache {
	return &prefixCache{
		clock:    clock,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		capacity: cfg.CacheBlocks,
		lag:      cfg.EventLag,
		loss:     cfg.EventLoss,
		recent:   list.New(),
		blocks:   make(map[identifier.Digest]*list.Element),
		readers:  make(map[chan CacheEvent]bool),
	}
}

// use stores the blocks and returns the fraction that was held already.
func (c *prefixCache) use(blocks []CacheBlock) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(blocks) == 0 {
		return 0
	}
	hits := 0
	for _, block := range blocks {
		if element, ok := c.blocks[block.Block]; ok {
			c.recent.MoveToFront(element)
			hits++
			continue
		}
		c.blocks[block.Block] = c.recent.PushFront(block)
		c.publish(Stored, block)
	}
	for c.recent.Len() > c.capacity {
		block := c.recent.Remove(c.recent.Back()).(CacheBlock)
		delete(c.blocks, block.Block)
		c.publish(Evicted, block)
	}
	return float64(hits) / float64(len(blocks))
}

func (c *prefixCache) publish(action CacheAction, block CacheBlock) {
	c.sequence++
	if c.rng.Float64() < c.loss {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Action: action, CacheBlock: block, at: c.clock.Now()}
	for reader := range c.readers {
		select {
		case reader <- event:
		default: // the reader is too slow and gets a gap
		}
	}
}

func (c *prefixCache) subscribe() chan CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	reader := make(chan CacheEvent, eventBuffer)
	c.readers[reader] = true
	return reader
}

func (c *prefixCache) unsubscribe(reader chan CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.readers, reader)
}

// ServeHTTP streams the events that happen from now on.
func (c *prefixCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reader := c.subscribe()
	defer c.unsubscribe(reader)
	stream := newEventStream(w)
	for {
		select {
		case event := <-reader:
			if repeater.SleepUntil(r.Context(), c.clock, event.at.Add(c.lag)) != nil {
				return
			}
			data, _ := json.Marshal(event)
			stream.send(string(data))
		case <-r.Context().Done():
			return
		}
	}
}

// eventStream writes server-sent events.
type eventStream struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
}

func newEventStream(w http.ResponseWriter) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	s := &eventStream{w: w, flusher: http.NewResponseController(w)}
	_ = s.flusher.Flush()
	return s
}

func (s *eventStream) send(data string) {
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", data)
	_ = s.flusher.Flush()
}
