package loader

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Effect is something that the shell has to do.
type Effect interface{ isEffect() }

// PollState asks the engine for its state.
type PollState struct{}

// Kind is what an order does.
type Kind string

// The orders of the engine's interface.
const (
	LoadModel     Kind = "Load"
	LoadAdapter   Kind = "Adapter"
	UnloadModel   Kind = "Unload"
	UnloadAdapter Kind = "UnloadAdapter"
	SetRole       Kind = "Role"
)

// SendOrder gives an order to the engine.
type SendOrder struct {
	ID      OrderID
	Kind    Kind
	Model   identifier.Model
	Adapter identifier.Adapter
	Version identifier.WeightVersion
	Role    Role
	Token   identifier.FencingToken
	// Expires ends the right to give the order, where the engine does not check
	// tokens itself. The shell breaks the order off then.
	Expires time.Time
	// Weights are what the engine shall read. Only orders to load have them.
	Weights verifier.Weights
}

// ServingChanged says what the upstream serves from now on.
type ServingChanged struct{ State State }

// Superseded says that a newer giver of orders exists.
type Superseded struct{ Current identifier.FencingToken }

// Failed says that an order does not succeed.
type Failed struct {
	Kind    Kind
	Problem string
	Remedy  string
}

func (PollState) isEffect()      {}
func (SendOrder) isEffect()      {}
func (ServingChanged) isEffect() {}
func (Superseded) isEffect()     {}
func (Failed) isEffect()         {}
