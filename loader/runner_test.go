package loader_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/imitator"
	"celeryvalve/loader"
	"celeryvalve/verifier"
)

// nopCloser adds a Close method to a bytes.Reader.
type nopCloser struct{ *bytes.Reader }

func (nopCloser) Close() error { return nil }

// startRunner runs a loader against an imitated engine. It returns the runner and
// the states that the engine serves.
func startRunner(t *testing.T, open loader.OpenFile) (*loader.Runner, <-chan loader.State) {
	clock := clockwork.NewRealClock()
	sw := imitator.NewSwitch(imitator.Misbehaviour{})
	process := imitator.NewProcess(clock, sw, imitator.NewHistory(clock), func() {})
	engine := httptest.NewServer(imitator.NewEngine(imitator.EngineConfig{BatchSize: 1}, process).Handler())
	t.Cleanup(engine.Close)
	var files *loader.FileServer
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { files.ServeHTTP(w, r) }))
	t.Cleanup(agent.Close)
	files = loader.NewFileServer(agent.URL, open)
	r := loader.NewRunner(loader.RunnerConfig{
		Loader: loader.DefaultConfig(), EngineURL: engine.URL, StateTimeout: time.Minute, OrderTimeout: time.Minute,
	}, clock, files, zap.NewNop(), asserter.Strict{})
	served := make(chan loader.State, 16)
	r.OnEffect = func(e loader.Effect) {
		if s, ok := e.(loader.ServingChanged); ok {
			served <- s.State
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return r, served
}

func TestEngineReadsVerifiedFilesFromTheAgent(t *testing.T) {
	r, served := startRunner(t, func(_ *verifier.Manifest, _ verifier.File) (io.ReadSeekCloser, error) {
		return nopCloser{bytes.NewReader([]byte("weights of 2"))}, nil
	})
	w := weights(t, "", "2")
	ctx := t.Context()
	r.Send(ctx, loader.DesiredChanged{Desired: loader.Desired{Model: "m", Weights: pinnedWeights(w), Role: "Decode"}})
	r.Send(ctx, loader.TokenGranted{Token: 7})
	r.Send(ctx, loader.WeightsVerified{Weights: w})
	for s := range served {
		if s.Ready && s.Role == "Decode" {
			require.EqualValues(t, "2", s.Version)
			require.EqualValues(t, 7, s.FencingToken)
			break
		}
	}
}

func TestFilesServeOnlyVerifiedWeights(t *testing.T) {
	files := loader.NewFileServer("http://127.0.0.1", nil)
	w := httptest.NewRecorder()
	path := loader.FilesPath + weights(t, "", "1").Manifest().Digest().String() + "/w"
	files.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	require.Equal(t, http.StatusNotFound, w.Code)
}
