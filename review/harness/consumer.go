//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// answer is the final answer to a consumer's attempt.
type answer struct {
	attempt    string
	status     int // 0: the channel ended without one
	signed     bool
	body       string
	retryAfter time.Duration
}

func (a answer) served() bool {
	return a.status == http.StatusOK && a.signed && strings.Contains(a.body, "answered "+a.attempt)
}

// send sends one attempt to a machine on a new channel.
func (f *fleet) send(m *machine, method, host, path string, remaining time.Duration, more map[string]string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, nil)
	if err != nil {
		return a
	}
	request.Host = host
	request.Header.Set("Celeryvalve-Attempt-Id", a.attempt)
	request.Header.Set("Celeryvalve-Deadline-Remaining", strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set("Api-Key", apiKey)
	size := 0
	for name, value := range more {
		request.Header.Set(name, value)
		size += len(name) + len(value)
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			a.status, a.body = response.StatusCode, string(body)
			a.signed = response.Header.Get("Celeryvalve-Response-Signature") != ""
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	f.record.add("consumer", "%s %s %s%s at %s (%d bytes of further headers) -> %d, signed %t, retry after %s",
		a.attempt, method, host, path, m.name, size, a.status, a.signed, a.retryAfter)
	return a
}

// ask sends a request that may be repeated, and once more where the first answer says when.
func (f *fleet) ask(machines []*machine, i int, host, path string) answer {
	const limit = 3 * time.Second
	began := time.Now()
	a := f.send(machines[i%len(machines)], http.MethodGet, host, path, limit, nil)
	left := limit - time.Since(began)
	if a.served() || left < 100*time.Millisecond {
		return a
	}
	time.Sleep(min(a.retryAfter, left/3))
	return f.send(machines[(i+1)%len(machines)], http.MethodGet, host, path, limit-time.Since(began), nil)
}
