package loader

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Effect is an action that the Runner executes.
type Effect interface{ isEffect() }

// PollState reads the engine's state. StateObserved or StateUnknown must follow.
type PollState struct{}

// Kind selects what an order does.
type Kind string

// The orders that an engine accepts.
const (
	LoadModel     Kind = "Load"
	LoadAdapter   Kind = "Adapter"
	UnloadModel   Kind = "Unload"
	UnloadAdapter Kind = "UnloadAdapter"
	SetRole       Kind = "Role"
)

// SendOrder sends an order to the engine. OrderAccepted, OrderFenced or OrderFailed
// must follow.
type SendOrder struct {
	ID      OrderID
	Kind    Kind
	Model   identifier.Model
	Adapter identifier.Adapter
	Version identifier.WeightVersion
	Role    Role
	Token   identifier.FencingToken
	// Expires is when the right to send the order ends, if the engine does not check
	// fencing tokens. The Runner then aborts the order.
	Expires time.Time
	// Weights are the files that the engine is to read. Only orders to load have them.
	Weights verifier.Weights
}

// ServingChanged reports what the upstream serves from now on.
type ServingChanged struct{ State State }

// Superseded reports that another agent has a newer fencing token.
type Superseded struct{ Current identifier.FencingToken }

// Failed reports an order that failed and will be retried.
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
