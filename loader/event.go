package loader

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Role is what an engine does among others of its service.
type Role string

// Declared pins the weights of a model or adapter.
type Declared struct {
	Version  identifier.WeightVersion
	Manifest identifier.Digest
}

// Desired is what the upstream should serve. Without a model it should serve none.
type Desired struct {
	Model    identifier.Model
	Weights  Declared
	Adapters map[identifier.Adapter]Declared
	Role     Role
	// Paused: nothing is loaded or unloaded until it is resumed.
	Paused bool
}

// Load is how busy an engine says that it is.
type Load struct {
	Running int
	Waiting int
	// Age is how old the figures are.
	Age time.Duration
}

// State is what an engine reports.
type State struct {
	Model        identifier.Model
	Version      identifier.WeightVersion
	Adapters     map[identifier.Adapter]identifier.WeightVersion
	Role         Role
	Ready        bool
	Load         Load
	FencingToken identifier.FencingToken
}

// OrderID numbers the orders of one loader.
type OrderID uint64

// Event is something that happened around the upstream.
type Event interface{ isEvent() }

// DesiredChanged brings the declared state.
type DesiredChanged struct{ Desired Desired }

// TokenGranted brings the right to give orders, or renews it.
type TokenGranted struct {
	Token identifier.FencingToken
	// Expires ends the right.
	Expires time.Time
	// PreviousExpires is when the lease of the previous giver has surely ended.
	PreviousExpires time.Time
}

// TokenLost takes the right to give orders away.
type TokenLost struct{}

// WeightsVerified brings weights that may be loaded.
type WeightsVerified struct{ Weights verifier.Weights }

// WeightsDropped says that weights are no longer stored.
type WeightsDropped struct{ Manifest identifier.Digest }

// StateObserved brings a state that was asked for at the time.
type StateObserved struct {
	State State
	Asked time.Time
}

// StateUnknown says that the engine did not answer.
type StateUnknown struct{}

// OrderAccepted says that an order was carried out.
type OrderAccepted struct{ ID OrderID }

// OrderFenced says that the engine has seen a newer token.
type OrderFenced struct {
	ID      OrderID
	Current identifier.FencingToken
}

// OrderFailed says that an order was refused, or that its outcome is unknown.
type OrderFailed struct {
	ID      OrderID
	Problem string
}

// Ticked drives polls and retries.
type Ticked struct{}

func (DesiredChanged) isEvent()  {}
func (TokenGranted) isEvent()    {}
func (TokenLost) isEvent()       {}
func (WeightsVerified) isEvent() {}
func (WeightsDropped) isEvent()  {}
func (StateObserved) isEvent()   {}
func (StateUnknown) isEvent()    {}
func (OrderAccepted) isEvent()   {}
func (OrderFenced) isEvent()     {}
func (OrderFailed) isEvent()     {}
func (Ticked) isEvent()          {}
