package imitator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/repeater"
)

// OrderFile is one file that an order tells the engine to read.
type OrderFile struct {
	Path   string
	Size   identifier.ByteCount
	Digest identifier.Digest
	URL    string
}

// Order is the body of every order; each order uses some of its fields.
type Order struct {
	Model        identifier.Model         `json:",omitempty"`
	Adapter      identifier.Adapter       `json:",omitempty"`
	Version      identifier.WeightVersion `json:",omitempty"`
	Role         string                   `json:",omitempty"`
	Files        []OrderFile              `json:",omitempty"`
	FencingToken identifier.FencingToken
}

// OrderAccepted is the answer to an order that was carried out.
type OrderAccepted struct {
	Accepted bool
}

// OrderFenced is the answer to an order with an old token.
type OrderFenced struct {
	FencingToken identifier.FencingToken
}

// OrderRefused is the answer to an order that can't be carried out.
type OrderRefused struct {
	Reason string
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, e.readFiles, func(o Order) {
		if o.Model != e.model {
			clear(e.adapters)
		}
		e.model = o.Model
		e.version = o.Version
	})
}

func (e *Engine) loadAdapter(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, e.readFiles, func(o Order) {
		e.adapters[o.Adapter] = o.Version
	})
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, nil, func(o Order) {
		if o.Adapter != "" {
			delete(e.adapters, o.Adapter)
			return
		}
		clear(e.adapters)
		e.model = ""
		e.version = ""
	})
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, nil, func(o Order) { e.role = o.Role })
}

// handleOrder checks the token, prepares without the lock, checks the token again
// and applies. What is served changes only in apply.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request,
	prepare func(context.Context, Order) error, apply func(Order)) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, OrderRefused{Reason: err.Error()})
		return
	}
	if current, ok := e.take(order.FencingToken, nil); !ok {
		writeJSON(w, http.StatusConflict, OrderFenced{FencingToken: current})
		return
	}
	if prepare != nil {
		if err := prepare(r.Context(), order); err != nil {
			writeJSON(w, http.StatusUnprocessableEntity, OrderRefused{Reason: err.Error()})
			return
		}
	}
	if current, ok := e.take(order.FencingToken, func() { apply(order) }); !ok {
		writeJSON(w, http.StatusConflict, OrderFenced{FencingToken: current})
		return
	}
	writeJSON(w, http.StatusOK, OrderAccepted{Accepted: true})
}

// take raises the token, calls apply under the lock and reports whether the
// token was new enough.
func (e *Engine) take(token identifier.FencingToken, apply func()) (identifier.FencingToken, bool) {
	ignore := e.cfg.IgnoreFencing || e.sw.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.token && !ignore {
		return e.token, false
	}
	e.token = max(e.token, token)
	if apply != nil {
		apply()
	}
	return e.token, true
}

// readFiles reads and checks every file, then takes the time of a load.
func (e *Engine) readFiles(ctx context.Context, order Order) error {
	for _, file := range order.Files {
		if err := e.readFile(ctx, file); err != nil {
			return err
		}
	}
	return repeater.Sleep(ctx, e.clock, time.Duration(float64(e.cfg.LoadTime)*e.sw.Get().slow()))
}

func (e *Engine) readFile(ctx context.Context, file OrderFile) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, file.URL, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("file %s: %s", file.Path, resp.Status)
	}
	hash := sha256.New()
	n, err := io.Copy(hash, resp.Body)
	if err != nil {
		return fmt.Errorf("file %s: %w", file.Path, err)
	}
	if n != int64(file.Size) {
		return fmt.Errorf("file %s has %d bytes, not %d", file.Path, n, file.Size)
	}
	if got := identifier.Digest(hash.Sum(nil)); got != file.Digest {
		return fmt.Errorf("file %s has digest %s, not %s", file.Path, got, file.Digest)
	}
	return nil
}
