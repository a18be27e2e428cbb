package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

type requestCommand struct {
	URL     string        `help:"URL to send to." required:""`
	Method  string        `help:"Method of the request." default:"POST"`
	Token   string        `help:"Bearer token of the caller."`
	Key     string        `help:"Idempotency key."`
	ID      string        `name:"id" help:"Request id."`
	Body    string        `help:"Body of the request."`
	Stream  bool          `help:"Print the answer as it comes; fail if its end mark is missing."`
	Timeout time.Duration `help:"How long to wait for the whole answer." default:"30s"`
	Retry   time.Duration `help:"How long to try again while nobody listens." default:"0s"`
}

// retryPause is the time between tries to connect.
const retryPause = 20 * time.Millisecond

// Run prints the status, the product's headers, the body and the trailers.
func (c *requestCommand) Run(env *environment) error {
	resp, err := c.send(env)
	for start := env.clock.Now(); errors.Is(err, syscall.ECONNREFUSED) && env.clock.Since(start) < c.Retry; {
		env.clock.Sleep(retryPause)
		resp, err = c.send(env)
	}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.print(env, resp)
}

// send sends the request once.
func (c *requestCommand) send(env *environment) (*http.Response, error) {
	req, err := http.NewRequestWithContext(env.ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{
		authorization:                 bearer(c.Token),
		imitator.HeaderIdempotencyKey: c.Key,
		imitator.HeaderRequestID:      c.ID,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return (&http.Client{Timeout: c.Timeout}).Do(req)
}

// print prints the answer and fails unless it is a whole success.
func (c *requestCommand) print(env *environment, resp *http.Response) error {
	_, _ = fmt.Fprintln(env.out, resp.Status)
	printHeader(env.out, resp.Header)
	var copied strings.Builder
	if _, err := io.Copy(io.MultiWriter(env.out, &copied), resp.Body); err != nil {
		return err
	}
	printHeader(env.out, resp.Trailer)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("request failed: %s", resp.Status)
	}
	if c.Stream && !strings.Contains(copied.String(), "data: [DONE]") {
		return fmt.Errorf("stream ended without its end mark")
	}
	return nil
}

func bearer(token string) string {
	if token == "" {
		return ""
	}
	return "Bearer " + token
}

// printHeader prints the headers that callers of the product look at.
func printHeader(w io.Writer, h http.Header) {
	var names []string
	for name := range h {
		if strings.HasPrefix(name, "Celeryvalve-") || name == "Retry-After" || name == imitator.HeaderRequestID {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "%s: %s\n", name, h.Get(name))
	}
}

type runsCommand struct {
	URL string `help:"Base URL of the stand-in." required:""`
	Key string `help:"Count only the runs of this idempotency key."`
}

// Run prints the number of runs.
func (c *runsCommand) Run(env *environment) error {
	runs, err := readRuns(env, c.URL)
	if err != nil {
		return err
	}
	n := 0
	for _, run := range runs {
		if c.Key == "" || run.IdempotencyKey == identifier.IdempotencyKey(c.Key) {
			n++
		}
	}
	_, err = fmt.Fprintln(env.out, n)
	return err
}

type countersCommand struct {
	URL string `help:"Base URL of the origin." required:""`
}

// Run prints the bytes of each file and of all.
func (c *countersCommand) Run(env *environment) error {
	var counters imitator.OriginCounters
	if err := readJSON(env, c.URL+"/counters", &counters); err != nil {
		return err
	}
	var names []string
	for name := range counters.Files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(env.out, "%12d %s\n", counters.Files[name], name)
	}
	_, err := fmt.Fprintf(env.out, "%12d bytes in %d requests, %d refused\n", counters.Bytes, counters.Requests, counters.Refused)
	return err
}

func readRuns(env *environment, base string) ([]imitator.Run, error) {
	var runs []imitator.Run
	err := readJSON(env, base+"/runs", &runs)
	return runs, err
}

func readJSON(env *environment, url string, v any) error {
	req, err := http.NewRequestWithContext(env.ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}
