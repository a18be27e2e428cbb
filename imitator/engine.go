package imitator

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"celeryvalve/identifier"
)

// EngineConfig sets the capacity and the delays of an engine.
type EngineConfig struct {
	// FirstTokenDelay is the time to the first token of an uncached prompt.
	FirstTokenDelay time.Duration
	// TokenInterval is the time between tokens of a request that runs alone.
	TokenInterval time.Duration
	// SlowdownPerRequest is the share that each other running request adds to TokenInterval.
	SlowdownPerRequest float64
	// BatchSize is how many requests run together.
	BatchSize int
	// LoadTime is how long a load takes after its files are verified.
	LoadTime time.Duration
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventLoss is the share of cache events that are never sent.
	EventLoss float64
	// IgnoreFencing takes orders with any fencing token.
	IgnoreFencing bool
	// Seed drives the loss of events.
	Seed uint64
}

// Engine is a stand-in of a model engine.
type Engine struct {
	*Process
	cfg    EngineConfig
	batch  *batch
	cache  *prefixCache
	client *http.Client

	mu       sync.Mutex
	token    identifier.FencingToken
	model    identifier.Model
	version  identifier.WeightVersion
	adapters map[identifier.Adapter]identifier.WeightVersion
	role     string
	previous string // prompt of the request before, for crossed answers
}

// NewEngine returns an engine without a model.
func NewEngine(cfg EngineConfig, process *Process) *Engine {
	return &Engine{
		Process:  process,
		cfg:      cfg,
		batch:    newBatch(cfg.BatchSize, cfg.ReportLag, process.clock),
		cache:    newPrefixCache(cfg, process.clock),
		client:   &http.Client{},
		adapters: make(map[identifier.Adapter]identifier.WeightVersion),
	}
}

// EngineState is the answer of GET /state.
type EngineState struct {
	Model        identifier.Model
	Version      identifier.WeightVersion
	Adapters     map[identifier.Adapter]identifier.WeightVersion
	Role         string
	Ready        bool
	Load         Load
	FencingToken identifier.FencingToken
}

// State returns what the engine reports of itself.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{
		Model:        e.model,
		Version:      e.version,
		Adapters:     maps.Clone(e.adapters),
		Role:         e.role,
		Ready:        e.model != "",
		Load:         e.batch.report(),
		FencingToken: e.token,
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/orders/load", e.load).Methods(http.MethodPost)
	router.HandleFunc("/orders/adapter", e.loadAdapter).Methods(http.MethodPost)
	router.HandleFunc("/orders/unload", e.unload).Methods(http.MethodPost)
	router.HandleFunc("/orders/role", e.setRole).Methods(http.MethodPost)
	router.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.State())
	}).Methods(http.MethodGet)
	router.Handle("/events", e.cache).Methods(http.MethodGet)
	e.route(router)
	return router
}

// serve returns the weights that the name in a request's body asks for.
func (e *Engine) serve(name string) (served Served, loaded, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model == "" {
		return Served{}, false, false
	}
	served = Served{Model: e.model, Version: e.version}
	if name == "" || name == string(e.model) {
		return served, true, true
	}
	version, ok := e.adapters[identifier.Adapter(name)]
	served.Adapter = identifier.Adapter(name)
	served.AdapterVersion = version
	return served, true, ok
}

// cross remembers the prompt and returns the one before it.
func (e *Engine) cross(prompt string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.previous
	e.previous = prompt
	return before
}
