package generator

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// placeholder stands in paths and bodies for the number of the request.
const placeholder = "{n}"

// ClassName names one class of request.
type ClassName string

// AnswerKind says how the answers of a class are checked.
type AnswerKind string

// The kinds of answers.
const (
	// Stream is a streamed completion of the stand-in engine.
	Stream AnswerKind = "Stream"
	// Whole is a completion of the stand-in engine in one piece.
	Whole AnswerKind = "Whole"
	// Plain is any other answer.
	Plain AnswerKind = "Plain"
)

// Class describes requests of one sort.
type Class struct {
	Name   ClassName
	Weight float64
	Method string
	// Path and Body may contain {n}, the number of the request.
	Path    string
	Body    string
	Headers map[string]string
	Answer  AnswerKind
	// Keyed gives each request an idempotency key.
	Keyed bool
	// ResendFraction of the keyed requests is sent a second time.
	ResendFraction float64
	// ResendAfter is the time between the two.
	ResendAfter imitator.Duration
}

// Caller is an organisation that makes requests.
type Caller struct {
	Organisation identifier.Organisation
	Weight       float64
	// Headers are sent along, such as a credential.
	Headers map[string]string
}

// Plan is everything that decides which requests are made, and when.
type Plan struct {
	// Rate is the mean number of requests a second, resends not counted.
	Rate     float64
	Duration imitator.Duration
	// Timeout is how long a caller waits for its whole answer.
	Timeout imitator.Duration
	Seed    uint64
	Classes []Class
	Callers []Caller
}

// DefaultPlan is the mix of the callback service: drafting, booking and records
// for ten organisations, two of them large. A path starts with its service.
func DefaultPlan() Plan {
	plan := Plan{
		Rate:     20,
		Duration: imitator.Duration(10 * time.Second),
		Timeout:  imitator.Duration(30 * time.Second),
		Seed:     1,
		Classes: []Class{
			{Name: "drafting", Weight: 6, Method: "POST", Path: "/drafting/v1/completions", Answer: Stream,
				Body: `{"model":"summaries","prompt":"Summarise case {n}.","max_tokens":32,"stream":true}`},
			{Name: "booking", Weight: 2, Method: "POST", Path: "/booking/slots", Answer: Plain, Body: `{"Slot":{n}}`,
				Keyed: true, ResendFraction: 0.3, ResendAfter: imitator.Duration(100 * time.Millisecond)},
			{Name: "records", Weight: 2, Method: "GET", Path: "/records/records/{n}", Answer: Plain},
		},
	}
	for i := range 10 {
		weight := 1.0
		if i < 2 {
			weight = 8
		}
		name := identifier.Organisation("organisation-" + strconv.Itoa(i))
		plan.Callers = append(plan.Callers, Caller{Organisation: name, Weight: weight})
	}
	return plan
}

// ParsePlan reads a plan as JSON and refuses unknown names.
func ParsePlan(data []byte) (Plan, error) {
	plan := Plan{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&plan); err != nil {
		return plan, explainer.Wrap(err, explainer.InvalidInput, "plan is malformed",
			"start from the output of standin load --print-plan")
	}
	return plan, nil
}

// check returns what makes the plan unusable.
func (p Plan) check() error {
	if p.Rate <= 0 || p.Duration <= 0 || p.Timeout <= 0 || len(p.Classes) == 0 || len(p.Callers) == 0 {
		return explainer.New(explainer.InvalidInput, "plan asks for no requests",
			"set Rate, Duration and Timeout above zero, and at least one class and one caller")
	}
	return nil
}

// arrival is one request that is due.
type arrival struct {
	n      int
	after  time.Duration // since the start
	class  Class
	caller Caller
	key    identifier.IdempotencyKey
	resend bool
	target uint64 // which entry it goes to
}

func (a arrival) path() string {
	return strings.ReplaceAll(a.class.Path, placeholder, strconv.Itoa(a.n))
}

func (a arrival) body() string {
	return strings.ReplaceAll(a.class.Body, placeholder, strconv.Itoa(a.n))
}

// arrivals draws every request of the plan: a Poisson process over the mix.
func (p Plan) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 3))
	var list []arrival
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= time.Duration(p.Duration) || at < 0 {
			return list
		}
		a := arrival{n: n, after: at, target: rng.Uint64()}
		a.class = p.Classes[pick(rng, len(p.Classes), func(i int) float64 { return p.Classes[i].Weight })]
		a.caller = p.Callers[pick(rng, len(p.Callers), func(i int) float64 { return p.Callers[i].Weight })]
		if a.class.Keyed {
			a.key = identifier.IdempotencyKey("key-" + strconv.FormatUint(p.Seed, 10) + "-" + strconv.Itoa(n))
			a.resend = rng.Float64() < a.class.ResendFraction
		}
		list = append(list, a)
	}
}

// pick draws an index by weight.
func pick(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += math.Max(weight(i), 0)
	}
	at := rng.Float64() * total
	for i := range n {
		at -= math.Max(weight(i), 0)
		if at < 0 {
			return i
		}
	}
	return n - 1
}
