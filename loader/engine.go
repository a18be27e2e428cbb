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

// maxResponseSize is the largest response that is read from an engine, in bytes.
const maxResponseSize = 1 << 20

// orderFile is a file of the weights and the URL at which the engine reads it.
type orderFile struct {
	Path   string
	Size   identifier.ByteCount
	Digest identifier.Digest
	URL    string
}

// orderRequest is the body of every order. Each kind of order uses some of the fields.
type orderRequest struct {
	Model        identifier.Model         `json:",omitempty"`
	Adapter      identifier.Adapter       `json:",omitempty"`
	Version      identifier.WeightVersion `json:",omitempty"`
	Role         Role                     `json:",omitempty"`
	Files        []orderFile              `json:",omitempty"`
	FencingToken identifier.FencingToken
}

// orderResponse is the engine's response to an order.
type orderResponse struct {
	Accepted     bool
	FencingToken identifier.FencingToken
	Reason       string
}

// duration is a JSON duration, as text or in nanoseconds.
type duration time.Duration

// UnmarshalJSON parses a duration such as "1.5s" or 1500000000.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		parsed, err := time.ParseDuration(text)
		*d = duration(parsed)
		return err
	}
	return json.Unmarshal(data, (*int64)(d))
}

// stateResponse is the engine's response to GET /state.
type stateResponse struct {
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

// engineClient sends requests to one engine over HTTP.
type engineClient struct {
	base   string
	client *http.Client
}

// state reads the engine's state.
func (e *engineClient) state(ctx context.Context) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/state", nil)
	if err != nil {
		return State{}, err
	}
	var r stateResponse
	status, err := e.do(req, &r)
	if err != nil {
		return State{}, err
	}
	if status != http.StatusOK {
		return State{}, unavailable(fmt.Sprintf("engine responded with status %d to GET /state", status))
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

// sendOrder sends an order and returns the event for its response.
func (e *engineClient) sendOrder(ctx context.Context, o SendOrder, files *FileServer) Event {
	body := orderRequest{Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role, FencingToken: o.Token}
	if !o.Weights.IsZero() {
		body.Files = files.orderFiles(o.Weights)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+orderPath(o.Kind), bytes.NewReader(data))
	if err != nil {
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	var a orderResponse
	status, err := e.do(req, &a)
	switch {
	case err != nil:
		return OrderFailed{ID: o.ID, Problem: err.Error()}
	case status == http.StatusConflict:
		return OrderFenced{ID: o.ID, Current: a.FencingToken}
	case status != http.StatusOK || !a.Accepted:
		return OrderFailed{ID: o.ID, Problem: fmt.Sprintf("engine responded with status %d: %s", status, a.Reason)}
	}
	return OrderAccepted{ID: o.ID}
}

func orderPath(k Kind) string {
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

// do sends a request, decodes the response into v and returns the status.
func (e *engineClient) do(req *http.Request, v any) (int, error) {
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, explainer.Wrap(err, explainer.Unavailable, "engine can't be reached", "check that the engine runs")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return 0, explainer.Wrap(err, explainer.Unavailable, "engine's response was cut off", "check that the engine runs")
	}
	if err := json.Unmarshal(data, v); err != nil && resp.StatusCode < http.StatusInternalServerError {
		return 0, unavailable("engine's response is not valid JSON")
	}
	return resp.StatusCode, nil
}

func unavailable(problem string) error {
	return explainer.New(explainer.Unavailable, problem, "check the engine's address and that it implements the order API")
}
