package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// maxAnswer is the largest answer that is read from an engine, in bytes.
const maxAnswer = 1 << 20

// orderFile tells the engine where to read a file.
type orderFile struct {
	Path   string
	Size   identifier.ByteCount
	Digest identifier.Digest
	URL    string
}

// order is the body of every order; each uses some of the fields.
type order struct {
	Model        identifier.Model         `json:",omitempty"`
	Adapter      identifier.Adapter       `json:",omitempty"`
	Version      identifier.WeightVersion `json:",omitempty"`
	Role         Role                     `json:",omitempty"`
	Files        []orderFile              `json:",omitempty"`
	FencingToken identifier.FencingToken
}

// answer is the engine's answer to an order.
type answer struct {
	Accepted     bool
	FencingToken identifier.FencingToken
	Reason       string
}

// duration reads a duration as text or as nanoseconds.
type duration time.Duration

// UnmarshalJSON reads "1.5s" or 1500000000.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		parsed, err := time.ParseDuration(text)
		*d = duration(parsed)
		return err
	}
	return json.Unmarshal(data, (*int64)(d))
}

// reportedState is a State as the engine writes it.
type reportedState struct {
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters map[identifier.Adapter]identifier.WeightVersion
	Role     Role
	Ready    bool
	Load     struct {
		Running int
		Waiting int
		Age     duration
	}
	FencingToken identifier.FencingToken
}

// engine speaks to one upstream over HTTP.
type engine struct {
	base   string
	client *http.Client
}

// state asks for the engine's state.
func (e *engine) state(ctx context.Context) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/state", nil)
	if err != nil {
		return State{}, err
	}
	var r reportedState
	status, err := e.do(req, &r)
	if err != nil {
		return State{}, err
	}
	if status != http.StatusOK {
		return State{}, unavailable(fmt.Sprintf("engine answers %d to GET /state", status))
	}
	return State{
		Model:        r.Model,
		Version:      r.Version,
		Adapters:     r.Adapters,
		Role:         r.Role,
		Ready:        r.Ready,
		Load:         Load{Running: r.Load.Running, Waiting: r.Load.Waiting, Age: time.Duration(r.Load.Age)},
		FencingToken: r.FencingToken,
	}, nil
}

// give sends an order and returns the event that its answer makes.
func (e *engine) give(ctx context.Context, o SendOrder, files *Files) Event {
	body := order{Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role, FencingToken: o.Token}
	if !o.Weights.IsZero() {
		body.Files = files.list(o.Weights)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+pathOf(o.Kind), bytes.NewReader(data))
	if err != nil {
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	var a answer
	status, err := e.do(req, &a)
	switch {
	case err != nil:
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	case status == http.StatusConflict:
		return OrderFenced{ID: o.ID, Current: a.FencingToken}
	case status != http.StatusOK || !a.Accepted:
		return OrderFailed{ID: o.ID, Problem: fmt.Sprintf("engine answers %d: %s", status, a.Reason)}
	}
	return OrderAccepted{ID: o.ID}
}

func pathOf(k Kind) string {
	switch k {
	case LoadModel:
		return "/orders/load"
	case LoadAdapter:
		return "/orders/adapter"
	case SetRole:
		return "/orders/role"
	}
	return "/orders/unload"
}

// do sends a request and decodes the answer into v.
func (e *engine) do(req *http.Request, v any) (int, error) {
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, explainer.Wrap(err, explainer.Unavailable, "engine can't be reached", "check that the engine runs")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, explainer.Wrap(err, explainer.Unavailable, "engine's answer broke off", "check that the engine runs")
	}
	if err := json.Unmarshal(data, v); err != nil && resp.StatusCode < http.StatusInternalServerError {
		return 0, unavailable("engine's answer is not JSON")
	}
	return resp.StatusCode, nil
}

func unavailable(problem string) error {
	return explainer.New(explainer.Unavailable, problem, "check the engine's address and that it speaks the orders")
}
