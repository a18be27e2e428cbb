package generator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
	"celeryvalve/repeater"
)

// Generator sends the requests of one plan.
type Generator struct {
	plan    Plan
	entries []string
	client  *http.Client
	clock   clockwork.Clock

	mu      sync.Mutex
	records []Record
}

// New returns a generator that spreads the plan's requests over the entries,
// which are base URLs.
func New(plan Plan, entries []string, client *http.Client, clock clockwork.Clock) (*Generator, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, explainer.New(explainer.InvalidInput, "no entry to send to", "name at least one base URL")
	}
	return &Generator{plan: plan, entries: entries, client: client, clock: clock}, nil
}

// Run sends every request when it is due, waits for the answers and returns the
// records in the order of the answers. It stops sending when ctx ends.
func (g *Generator) Run(ctx context.Context) []Record {
	start := g.clock.Now()
	var wait sync.WaitGroup
	for _, a := range g.plan.arrivals() {
		due := start.Add(a.after)
		if repeater.SleepUntil(ctx, g.clock, due) != nil {
			break
		}
		wait.Go(func() { g.call(ctx, a, due, false) })
		if a.resend {
			wait.Go(func() { g.resend(ctx, a, due.Add(time.Duration(a.class.ResendAfter))) })
		}
	}
	wait.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records
}

// resend sends the request again, to the next entry.
func (g *Generator) resend(ctx context.Context, a arrival, due time.Time) {
	a.target++
	if repeater.SleepUntil(ctx, g.clock, due) == nil {
		g.call(ctx, a, due, true)
	}
}

func (g *Generator) call(ctx context.Context, a arrival, due time.Time, resend bool) {
	rec := Record{
		RequestID:      requestID(g.plan.Seed, a.n, resend),
		IdempotencyKey: a.key,
		Class:          a.class.Name,
		Organisation:   a.caller.Organisation,
		Resend:         resend,
		Due:            due,
		Outcome:        Unnamed,
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.plan.Timeout))
	defer cancel()
	err := g.exchange(ctx, a, &rec)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		rec.Fault = "no answer before the timeout"
	case err != nil:
		rec.Fault = "connection failed or broke off"
	}
	rec.Latency = imitator.Duration(g.clock.Since(due))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, rec)
}

// exchange sends the request and reads its answer into rec.
func (g *Generator) exchange(ctx context.Context, a arrival, rec *Record) error {
	body := a.body()
	url := g.entries[a.target%uint64(len(g.entries))] + a.path()
	req, err := http.NewRequestWithContext(ctx, a.class.Method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	setHeaders(req, a, rec, time.Duration(g.plan.Timeout))
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	rec.Status = resp.StatusCode
	if id := resp.Header.Get(HeaderRequest); id != "" {
		rec.RequestID = identifier.RequestID(id)
	}
	rec.setOutcome(resp.Header)
	if err := g.read(resp.Body, a.class.Answer, promptOf(body), rec); err != nil {
		rec.Outcome = Unnamed // the header holds only for an answer that ends whole
		return err
	}
	rec.setOutcome(resp.Trailer)
	return nil
}

// read reads the answer and returns the error that cut it off.
func (g *Generator) read(body io.Reader, kind AnswerKind, prompt string, rec *Record) error {
	switch {
	case rec.Status >= http.StatusMultipleChoices || kind == Plain:
		return readPlain(body, rec)
	case kind == Stream:
		return readStream(body, prompt, g.clock, rec)
	default:
		return readWhole(body, prompt, rec)
	}
}

func setHeaders(req *http.Request, a arrival, rec *Record, timeout time.Duration) {
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(imitator.HeaderRequestID, string(rec.RequestID))
	req.Header.Set(HeaderDeadline, timeout.String())
	if a.key != "" {
		req.Header.Set(imitator.HeaderIdempotencyKey, string(a.key))
	}
	for name, value := range a.class.Headers {
		req.Header.Set(name, value)
	}
	for name, value := range a.caller.Headers {
		req.Header.Set(name, value)
	}
}

func requestID(seed uint64, n int, resend bool) identifier.RequestID {
	id := "load-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(n)
	if resend {
		id += "-again"
	}
	return identifier.RequestID(id)
}
