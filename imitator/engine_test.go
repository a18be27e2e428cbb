package imitator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

type bench struct {
	t       *testing.T
	url     string
	sw      *imitator.Switch
	history *imitator.History
}

func newBench(t *testing.T, build func(p *imitator.Process) http.Handler) *bench {
	clock := clockwork.NewRealClock()
	b := &bench{t: t, sw: imitator.NewSwitch(imitator.Misbehaviour{}), history: imitator.NewHistory(clock)}
	srv := httptest.NewUnstartedServer(nil)
	srv.Config.Handler = build(imitator.NewProcess(clock, b.sw, b.history, func() {}))
	srv.Start()
	t.Cleanup(srv.Close)
	b.url = srv.URL
	return b
}

func newEngine(t *testing.T) *bench {
	return newBench(t, func(p *imitator.Process) http.Handler {
		return imitator.NewEngine(imitator.EngineConfig{BatchSize: 2, CacheBlocks: 4}, p).Handler()
	})
}

// post returns the status and the body, and the error that cut the body off.
func (b *bench) post(path string, body any, headers ...string) (int, string, error) {
	data, err := json.Marshal(body)
	require.NoError(b.t, err)
	req, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.url+path, bytes.NewReader(data))
	require.NoError(b.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

func (b *bench) mustPost(want int, path string, body any, headers ...string) string {
	status, answer, err := b.post(path, body, headers...)
	require.NoError(b.t, err)
	require.Equal(b.t, want, status, answer)
	return answer
}

func completion(prompt string) map[string]any {
	return map[string]any{"model": "m", "prompt": prompt, "max_tokens": 4, "stream": true}
}

func TestEngineServesOnlyVerifiedFiles(t *testing.T) {
	files := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "weights of "+r.URL.Path)
	}))
	defer files.Close()
	b := newEngine(t)
	b.mustPost(http.StatusServiceUnavailable, "/v1/completions", completion("p"))

	file := imitator.OrderFile{Path: "a", Size: 12, Digest: identifier.DigestOf([]byte("weights of /")), URL: files.URL}
	order := imitator.Order{Model: "m", Version: "1", FencingToken: 3, Files: []imitator.OrderFile{file}}
	b.mustPost(http.StatusOK, "/orders/load", order)

	order.Version = "2"
	order.Files[0].Digest = identifier.DigestOf([]byte("other"))
	b.mustPost(http.StatusUnprocessableEntity, "/orders/load", order)
	answer := b.mustPost(http.StatusOK, "/v1/completions", completion("p"), imitator.HeaderRequestID, "r1")
	require.Contains(t, answer, "m@1:"+imitator.PromptHash("p"))
	require.True(t, strings.HasSuffix(answer, "data: [DONE]\n\n"))
	require.Equal(t, 1, len(b.history.Runs()))
	require.Equal(t, identifier.RequestID("r1"), b.history.Runs()[0].RequestID)
}

func TestEngineRefusesOldTokens(t *testing.T) {
	b := newEngine(t)
	b.mustPost(http.StatusOK, "/orders/role", imitator.Order{Role: "Decode", FencingToken: 5})
	answer := b.mustPost(http.StatusConflict, "/orders/load", imitator.Order{Model: "m", FencingToken: 4})
	require.JSONEq(t, `{"FencingToken":5}`, answer)
	b.sw.Set(imitator.Misbehaviour{IgnoreFencing: true})
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1", FencingToken: 4})
}

func TestEngineServesAdapterByName(t *testing.T) {
	b := newEngine(t)
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1"})
	b.mustPost(http.StatusOK, "/orders/adapter", imitator.Order{Adapter: "a", Version: "7"})
	body := map[string]any{"model": "a", "messages": []map[string]string{{"role": "user", "content": "hello"}}}
	answer := b.mustPost(http.StatusOK, "/v1/chat/completions", body)
	require.Contains(t, answer, "m@1+a@7:"+imitator.PromptHash("user: hello\n"))
	b.mustPost(http.StatusOK, "/orders/unload", imitator.Order{Adapter: "a"})
	b.mustPost(http.StatusNotFound, "/v1/chat/completions", body)
}

func TestEngineMisbehaves(t *testing.T) {
	b := newEngine(t)
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1"})

	b.sw.Set(imitator.Misbehaviour{Short: true})
	require.NotContains(t, b.mustPost(http.StatusOK, "/v1/completions", completion("p")), "[DONE]")
	_, _, err := b.post("/v1/completions", map[string]any{"prompt": "p"})
	require.Error(t, err)

	b.sw.Set(imitator.Misbehaviour{Crossed: true})
	answer := b.mustPost(http.StatusOK, "/v1/completions", completion("q"))
	require.Contains(t, answer, imitator.PromptHash("p"))

	b.sw.Set(imitator.Misbehaviour{CrashOn: "poison"})
	_, _, err = b.post("/v1/completions", completion("poison"))
	require.Error(t, err)
	runs := b.history.Runs()
	require.Equal(t, imitator.Crashed, runs[len(runs)-1].Ending)
}

func TestEngineCancelsWhenCallerLeaves(t *testing.T) {
	b := newEngine(t)
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1"})
	b.sw.Set(imitator.Misbehaviour{StallOn: "stall"})
	data, _ := json.Marshal(completion("stall"))
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/completions", bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	cancel()
	require.Eventually(t, func() bool {
		runs := b.history.Runs()
		return len(runs) == 1 && runs[0].Ending == imitator.Cancelled
	}, time.Minute, time.Millisecond)
}

func TestHostRestartsWithoutState(t *testing.T) {
	clock := clockwork.NewRealClock()
	sw := imitator.NewSwitch(imitator.Misbehaviour{CrashOn: "poison", RestartAfter: imitator.Duration(time.Millisecond)})
	history := imitator.NewHistory(clock)
	starts := make(chan bool, 2)
	pid := os.Getpid() // each test process has its own IP number
	addr := fmt.Sprintf("127.%d.%d.1:19431", 64+pid>>8&63, pid&255)
	host := imitator.NewHost(addr, clock, zap.NewNop(), sw, func(crash func()) http.Handler {
		starts <- true
		return imitator.NewEngine(imitator.EngineConfig{BatchSize: 1}, imitator.NewProcess(clock, sw, history, crash)).Handler()
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	<-starts
	b := &bench{t: t, url: "http://" + addr}
	b.mustPost(http.StatusOK, "/orders/load", imitator.Order{Model: "m", Version: "1"})
	_, _, err := b.post("/v1/completions", completion("poison"))
	require.Error(t, err)
	<-starts
	b.mustPost(http.StatusServiceUnavailable, "/v1/completions", completion("p"))
	require.Equal(t, 1, len(history.Runs()))
	cancel()
	require.NoError(t, <-done)
}
