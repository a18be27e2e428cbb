package relayer

import (
	"bufio"
	"bytes"
	"net/http"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// ExplainKind is the kind of ExplainRequest.
const ExplainKind encoder.Kind = "Relayer.ExplainRequest"

// ExplainRequest asks an entry what it would do with a request that arrived now.
type ExplainRequest struct {
	// Request is the request as a caller sends it over HTTP/1.1.
	Request []byte
}

// Explanation says what an entry would do with a request that arrived now, and why.
type Explanation struct {
	Entry identifier.Instance
	// Status and Problem are those of the response if the entry rejects the request before
	// it is weighed. Status is 0 otherwise, and the fields below are set.
	Status  int    `json:",omitempty"`
	Problem string `json:",omitempty"`

	Route             identifier.Route        `json:",omitempty"`
	Kind              declarer.RequestKind    `json:",omitempty"`
	Organisation      identifier.Organisation `json:",omitempty"`
	Service           identifier.Service      `json:",omitempty"`
	RouteHomes        declarer.Homes          `json:",omitempty"`
	OrganisationHomes declarer.Homes          `json:",omitempty"`
	Priority          int
	// Resubmitted says that the entry takes the request for one that was refused before.
	Resubmitted bool
	Decision    balancer.Explanation
}

// ExplainMessages returns the messages between operators and entries for registration with
// the codec.
func ExplainMessages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[ExplainRequest](ExplainKind),
		encoder.Message[Explanation]("Relayer.Explanation"),
	}
}

// ParseRequest reads a request as a caller sends it. Its errors are of kind InvalidInput.
func ParseRequest(data []byte) (*http.Request, error) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, "the request can't be read",
			"write it as it goes over HTTP/1.1: request line, headers, an empty line, the body")
	}
	return request, nil
}

// Explain says what the relayer would do with the request if it arrived now. It takes the
// path of ServeHTTP up to the decision and records nothing: no request is counted, logged
// or sent.
func (r *Relayer) Explain(request *http.Request) Explanation {
	x := &exchange{relayer: r, r: request, arrivedAt: r.clock.Now(), header: r.dialect.ReadCaller(request.Header), memory: r.memory.Reserve(), dryRun: true}
	defer x.memory.Close()
	index := r.index.Load()
	if index == nil {
		return Explanation{Status: http.StatusServiceUnavailable, Problem: undeclaredProblem}
	}
	if status, problem := x.admit(index); status != 0 {
		return Explanation{Status: status, Problem: problem, Route: x.routeName, Kind: x.route.Kind}
	}
	r.mu.Lock()
	decision := r.reducer.Explain(r.clock.Now(), x.request)
	r.mu.Unlock()
	return Explanation{
		Route:             x.routeName,
		Kind:              x.route.Kind,
		Organisation:      x.organisation,
		Service:           x.request.Service,
		RouteHomes:        x.request.RouteHomes,
		OrganisationHomes: x.request.OrganisationHomes,
		Priority:          x.request.Priority,
		Resubmitted:       x.request.Resubmitted,
		Decision:          decision,
	}
}
