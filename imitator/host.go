package imitator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/repeater"
)

// MaxBody is the largest request body that a stand-in reads, in bytes.
const MaxBody = 16 << 20

// Host serves a stand-in on one address, ends it at a crash and starts it anew.
type Host struct {
	addr  string
	clock clockwork.Clock
	log   *zap.Logger
	sw    *Switch
	build func(crash func()) http.Handler
}

// NewHost returns a host of what build makes. Each start builds a new handler,
// so that a crash loses the state of the stand-in.
func NewHost(addr string, clock clockwork.Clock, log *zap.Logger, sw *Switch, build func(crash func()) http.Handler) *Host {
	return &Host{addr: addr, clock: clock, log: log, sw: sw, build: build}
}

// Run serves until ctx ends, through crashes.
func (h *Host) Run(ctx context.Context) error {
	for {
		if err := h.serveOnce(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		pause := time.Duration(h.sw.Get().RestartAfter)
		h.log.Info("standin: crashed", zap.String("address", h.addr), zap.Duration("restart", pause))
		if pause == 0 {
			<-ctx.Done()
			return nil
		}
		if err := repeater.Sleep(ctx, h.clock, pause); err != nil {
			return nil
		}
	}
}

// serveOnce serves one life of the stand-in, until it crashes or ctx ends.
func (h *Host) serveOnce(ctx context.Context) error {
	life, crash := context.WithCancel(ctx)
	defer crash()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", h.addr)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler:           h.build(crash),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return life },
	}
	stop := context.AfterFunc(life, func() { _ = srv.Close() })
	defer stop()
	err = srv.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
