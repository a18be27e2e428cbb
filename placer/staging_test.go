package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/stager"
)

const (
	engineLayers = 4
	engineChunks = 8 // two a layer
)

// fakeEngine is an engine whose staged chunks become corrupt when a test says so. It loads an
// order at once.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int]string
	// held holds the chunks from which each layer was loaded.
	held    map[int]string
	release declarer.ReleaseNumber
	orders  uint64
	bodies  []string
	// afterRead and beforeOrder run while the engine serves such a call.
	afterRead   func(chunk int)
	beforeOrder func(n int)
	// loseAnswer reports whether the answer to an order is lost.
	loseAnswer func(n int) bool
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk, _ := strconv.Atoi(r.URL.Query().Get("num"))
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/order":
		e.order(w, r)
	case r.Method == http.MethodPut:
		data, _ := io.ReadAll(r.Body)
		e.staged[chunk] = string(data)
	default:
		data, ok := e.staged[chunk]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, data)
		e.afterRead(chunk)
	}
}

// layers returns the range of layers that the engine holds.
func (e *fakeEngine) layers() (from, to int) {
	for from < engineLayers && e.held[from] == "" {
		from++
	}
	return from, from + len(e.held)
}

func (e *fakeEngine) report(w http.ResponseWriter) {
	state := map[string]any{"models": []any{}, "seq": e.orders}
	if len(e.held) > 0 {
		from, to := e.layers()
		state["models"] = []any{map[string]any{"name": "m", "version": e.release}}
		state["layers"] = map[string]any{"from": from, "to": to, "version": e.release}
	}
	_ = json.NewEncoder(w).Encode(state)
}

func (e *fakeEngine) order(w http.ResponseWriter, r *http.Request) {
	e.beforeOrder(len(e.bodies))
	body, _ := io.ReadAll(r.Body)
	var o struct {
		Version  declarer.ReleaseNumber
		From, To *int
		Expect   uint64
	}
	_ = json.Unmarshal(body, &o)
	e.bodies = append(e.bodies, string(body))
	from, to := 0, engineLayers
	if o.From != nil {
		from, to = *o.From, *o.To
	}
	if o.Expect != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if heldFrom, heldTo := e.layers(); e.release == o.Version && heldFrom == from && heldTo == to {
		w.WriteHeader(http.StatusOK)
		return
	}
	held := make(map[int]string)
	for layer := from; layer < to; layer++ {
		held[layer] = e.staged[2*layer] + e.staged[2*layer+1]
		if kept := e.held[layer]; kept != "" && e.release == o.Version {
			held[layer] = kept
		}
	}
	e.held, e.release = held, o.Version
	e.orders++
	if e.loseAnswer(len(e.bodies) - 1) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// isWhole reports whether the engine holds all layers, from the chunks of the release.
func (e *fakeEngine) isWhole(n declarer.ReleaseNumber) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for layer := range engineLayers {
		if e.held[layer] != chunkOf(n, 2*layer)+chunkOf(n, 2*layer+1) {
			return false
		}
	}
	return e.release == n
}

func chunkOf(n declarer.ReleaseNumber, i int) string {
	return fmt.Sprintf("%03d/%03d", n, i)
}

// engineAgent runs the agent of a fakeEngine on a fake clock.
type engineAgent struct {
	*agent
	clock *clockwork.FakeClock
}

// newEngineAgent returns an agent that holds all chunks of release 2, which is wanted.
func newEngineAgent(t *testing.T, engine *fakeEngine, table *registrar.Table) engineAgent {
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	clock := clockwork.NewFakeClock()
	pinned := declarer.Pinned{Number: 2, ChunkSize: identifier.ByteCount(len(chunkOf(2, 0)))}
	chunks := make(map[identifier.Digest][]byte)
	for i := range engineChunks {
		digest := identifier.DigestOf([]byte(chunkOf(2, i)))
		pinned.Digests = append(pinned.Digests, digest)
		chunks[digest] = []byte(chunkOf(2, i))
	}
	view := declarer.NewView(asserter.Strict{})
	service := declarer.Service{Engine: &declarer.Engine{Slots: 1, Model: "m", Layers: engineLayers}}
	require.True(t, view.Set(declarer.Declared{
		Revision:    1,
		Declaration: declarer.Declaration{Version: 1, Services: map[identifier.Service]declarer.Service{"llm": service}},
		Releases: map[identifier.Model]declarer.Release{"m": {
			Wanted: 2, Names: []declarer.WantedRelease{{Number: 2, At: clock.Now()}}, Pins: []declarer.Pinned{pinned},
		}},
	}))
	a := &agent{
		placement: parser.Placement{Upstream: address, Bounds: parser.PlatformLimits{ReleaseDeadline: 8 * time.Second}},
		view:      view, clock: clock, log: zap.NewNop(), engine: platform.NewEngine(address),
		spreader: spreader.New(spreader.Config{}, nil, table, view, nil, clock, zap.NewNop()),
		reducer:  stager.New(stager.Config{RolloutTime: 8 * time.Second}),
		target:   target{model: "m", pinned: pinned},
	}
	a.ctx, a.cancel = context.WithCancel(t.Context())
	t.Cleanup(a.cancel)
	a.pulls = map[declarer.ReleaseNumber]*pull{2: {target: a.target, chunks: chunks, puller: newPuller(a.placement, 0, clock, zap.NewNop())}}
	_, err := a.spreader.Report(registrar.Record{Upstream: "i-1", Sequence: 1, Service: "llm", Address: address, State: registrar.Ready})
	require.NoError(t, err)
	return engineAgent{agent: a, clock: clock}
}

// run polls the engine until a release is announced that the agent lets it serve, and reports
// whether that happened.
func (a engineAgent) run() bool {
	for range 100 {
		a.reconcile(a.ctx)
		a.work.Wait()
		if own, _ := a.engineRecords(); own.Serves() == 2 {
			return true
		}
		a.clock.Advance(agentReconcileInterval)
	}
	return false
}

// Guards against tokens made with a corrupt layer until the engine restarts: a chunk became
// corrupt after it was read back and before the engine took it, and nothing looked again.
func TestEngineServesOnlyWhatItTookWhole(t *testing.T) {
	never := func(int) bool { return false }
	for name, test := range map[string]struct {
		spoilAfterRead   int // the chunk that becomes corrupt once it has been read for the n-th time
		spoilBeforeOrder []int
		reads            int
		loseAnswer       func(n int) bool
		orders           int // that the engine has accepted in the end
	}{
		"nothing becomes corrupt":                      {spoilAfterRead: -1, loseAnswer: never, orders: 1},
		"the first chunk, while the others are read":   {spoilAfterRead: 0, reads: 2, loseAnswer: never, orders: 3},
		"the last chunk":                               {spoilAfterRead: engineChunks - 1, reads: 2, loseAnswer: never, orders: 3},
		"a chunk after the engine has taken it":        {spoilAfterRead: 3, reads: 3, loseAnswer: never, orders: 1},
		"two layers while the order is under way":      {spoilAfterRead: -1, spoilBeforeOrder: []int{1, 6}, loseAnswer: never, orders: 3},
		"all layers while the order is under way":      {spoilAfterRead: -1, spoilBeforeOrder: []int{0, 3, 4, 7}, loseAnswer: never, orders: 3},
		"one, and the answer to the order is lost":     {spoilAfterRead: -1, spoilBeforeOrder: []int{5}, loseAnswer: func(n int) bool { return n == 0 }, orders: 3},
		"one, and the answer to the discard is lost":   {spoilAfterRead: -1, spoilBeforeOrder: []int{5}, loseAnswer: func(n int) bool { return n == 1 }, orders: 3},
		"nothing, and the answer to the order is lost": {spoilAfterRead: -1, loseAnswer: func(n int) bool { return n == 0 }, orders: 3},
	} {
		t.Run(name, func(t *testing.T) {
			reads := make(map[int]int)
			engine := &fakeEngine{staged: make(map[int]string), loseAnswer: test.loseAnswer}
			engine.afterRead = func(chunk int) {
				if reads[chunk]++; chunk == test.spoilAfterRead && reads[chunk] == test.reads {
					engine.staged[chunk] = "spoilt!"
				}
			}
			engine.beforeOrder = func(n int) {
				for _, chunk := range test.spoilBeforeOrder {
					if n == 0 {
						engine.staged[chunk] = "spoilt!"
					}
				}
			}
			a := newEngineAgent(t, engine, registrar.New(registrar.Config{StaleAfter: time.Minute, ForgetAfter: time.Hour}))
			require.True(t, a.run(), "the engine should serve in the end")
			require.True(t, engine.isWhole(2), "the engine serves %v", engine.held)
			require.EqualValues(t, test.orders, engine.orders)
		})
	}
}

// Guards against weights that nobody has verified: an agent was killed after it had withheld its
// engine, and its successor took what the engine held for whole. Requests that run end first.
func TestSuccessorLoadsAgainWhatWasWithheld(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int]string), held: make(map[int]string), release: 2}
	engine.afterRead, engine.beforeOrder, engine.loseAnswer = func(int) {}, func(int) {}, func(int) bool { return false }
	for layer := range engineLayers {
		engine.held[layer] = "unknown"
	}
	a := newEngineAgent(t, engine, registrar.New(registrar.Config{StaleAfter: time.Minute, ForgetAfter: time.Hour}))
	a.spreader.RecordServing("i-1", 0, 1)
	require.True(t, a.run(), "the engine should serve in the end")
	require.True(t, engine.isWhole(2), "the engine serves %v", engine.held)
	require.EqualValues(t, 2, engine.orders)
	require.Contains(t, engine.bodies[0], `"wait"`)
}
