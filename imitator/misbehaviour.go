package imitator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"celeryvalve/explainer"
)

// Misbehaviour says what a stand-in does wrong. The zero value behaves well.
type Misbehaviour struct {
	// CrashOn ends the stand-in when a request's body contains the text.
	CrashOn string
	// RestartAfter brings a crashed stand-in back, without its state. Zero leaves it down.
	RestartAfter Duration
	// StallOn stops the answer of a request whose body contains the text, for good.
	StallOn string
	// StallAll stops every answer half way.
	StallAll bool
	// Short ends answers half way as if they were whole.
	Short bool
	// Hold keeps back the answers of a service until another misbehaviour is in force.
	Hold bool
	// Late delays the end of every answer.
	Late Duration
	// Crossed gives a request the answer that the request before it was owed.
	Crossed bool
	// IgnoreFencing takes orders with any token.
	IgnoreFencing bool
	// CorruptFraction of the answers of an origin have one byte flipped.
	CorruptFraction float64
	// Changed serves other content under the same names.
	Changed bool
	// Missing answers 404 for every weight file.
	Missing bool
	// SlowFactor multiplies delays, and divides rates. Zero means one.
	SlowFactor float64
}

// ParseMisbehaviour reads a misbehaviour from JSON and refuses unknown names.
func ParseMisbehaviour(text string) (Misbehaviour, error) {
	var m Misbehaviour
	if text == "" {
		return m, nil
	}
	dec := json.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return m, explainer.Wrap(err, explainer.InvalidInput, "misbehaviour is malformed",
			`write JSON such as {"CrashOn":"boom","RestartAfter":"2s"}`)
	}
	return m, nil
}

func (m Misbehaviour) slow() float64 {
	if m.SlowFactor <= 0 {
		return 1
	}
	return m.SlowFactor
}

func matches(body []byte, text string) bool {
	return text != "" && strings.Contains(string(body), text)
}

// Switch holds the misbehaviour in force. It outlives a crash of its stand-in.
type Switch struct {
	mu sync.Mutex
	m  Misbehaviour
	// changed is closed and replaced when m is.
	changed chan struct{}
}

// NewSwitch returns a switch that starts with m.
func NewSwitch(m Misbehaviour) *Switch {
	return &Switch{m: m, changed: make(chan struct{})}
}

// Get returns the misbehaviour in force.
func (s *Switch) Get() Misbehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m
}

// Set replaces the misbehaviour.
func (s *Switch) Set(m Misbehaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitRelease waits until answers are not held. It returns an error if ctx ends first.
func (s *Switch) awaitRelease(ctx context.Context) error {
	for {
		s.mu.Lock()
		hold, changed := s.m.Hold, s.changed
		s.mu.Unlock()
		if !hold {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ServeHTTP answers GET with the misbehaviour in force and replaces it on POST.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := readBody(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m, err := ParseMisbehaviour(string(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(m)
	}
	writeJSON(w, http.StatusOK, s.Get())
}
