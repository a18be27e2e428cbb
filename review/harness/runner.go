//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a plain runner. It registers with one control address, and calls the next one only
// when that does not answer.
type runner struct {
	fleet                  *fleet
	id, service, addr, zon string
	work                   time.Duration
	// events is how many events an answer has, or 0 for an answer without events.
	events   int
	controls []string

	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	seq  uint64
	runs int
	// cut is set while the runner is partitioned from control: what it sends is held.
	cut bool
}

// startRunner starts a runner, which registers at once. Its first control address is the
// machine at the given place.
func startRunner(f *fleet, id, service, addr, zone string, place int, cut bool) (*runner, error) {
	u, err := newRunner(f, id, service, addr, zone, place)
	if err != nil {
		return nil, err
	}
	u.cut = cut
	u.start()
	return u, nil
}

// newRunner returns a runner that listens and has to be started.
func newRunner(f *fleet, id, service, addr, zone string, place int) (*runner, error) {
	u := &runner{fleet: f, id: id, service: service, addr: addr, zon: zone, work: 20 * time.Millisecond}
	for i := range f.machines {
		u.controls = append(u.controls, f.machines[(place+i)%len(f.machines)].control())
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	u.listener = listener
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	return u, nil
}

// start serves requests and sends heartbeats.
func (u *runner) start() {
	go func() { _ = u.server.Serve(u.listener) }()
	go u.beat()
	u.fleet.record.add("runner", "%s of %s starts at %s in %s", u.id, u.service, u.addr, u.zon)
}

func (u *runner) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt, target := r.Header.Get("Celeryvalve-Attempt-Id"), r.Header.Get("Celeryvalve-Target-Instance")
	h := w.Header()
	h.Set("Celeryvalve-Attempt-Id", attempt)
	h.Set("Celeryvalve-Instance-Load", "1,0,6")
	if r.URL.Path == "/health" {
		h.Set("Celeryvalve-Instance-Id", u.id)
		return
	}
	if target != u.id {
		u.fleet.record.add("runner", "%s rejects request %s, which is for %s, with 421", u.id, attempt, target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.runs++
	u.mu.Unlock()
	u.fleet.record.add("runner", "%s runs request %s (%s %s, %d bytes)", u.id, attempt, r.Method, r.URL.RequestURI(), len(body))
	h.Set("Celeryvalve-Response-Signature", u.id+"."+attempt)
	if u.events > 0 {
		u.stream(w, r, attempt)
		return
	}
	time.Sleep(u.work)
	_, _ = fmt.Fprintf(w, "%s answered %s", u.id, attempt)
}

// stream sends the events of an answer in equal steps.
func (u *runner) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range u.events {
		select {
		case <-r.Context().Done():
			u.fleet.record.add("runner", "%s: request %s is cut off after %d of %d events", u.id, attempt, i, u.events)
			return
		case <-time.After(u.work / time.Duration(u.events)):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: answered %s\n\n", i+1, attempt)
		_ = http.NewResponseController(w).Flush()
	}
	u.fleet.record.add("runner", "%s ends request %s after %d events", u.id, attempt, u.events)
}

// heartbeat returns the next heartbeat.
func (u *runner) heartbeat(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.addr, "zone": u.zon, "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "seq": u.seq,
	})
	return body
}

// beat sends heartbeats until the runner ends.
func (u *runner) beat() {
	ticker := time.NewTicker(heartbeatMS * time.Millisecond)
	defer ticker.Stop()
	for {
		body := u.heartbeat("ready")
		u.mu.Lock()
		cut := u.cut
		u.mu.Unlock()
		for i := 0; !cut && i < len(u.controls) && u.ctx.Err() == nil; i++ {
			if u.send(u.controls[0], body) {
				break
			}
			u.controls = append(u.controls[1:], u.controls[0])
		}
		select {
		case <-u.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends a heartbeat to a control address and reports whether it was acknowledged.
func (u *runner) send(control string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/instances/"+u.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	u.fleet.record.add("runner", "%s heartbeat to %s: %s -> %d", u.id, control, body, status)
	return status >= 200 && status < 300
}

func (u *runner) setCut(cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = cut
}

func (u *runner) isCut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cut
}

// crash ends the runner without a word.
func (u *runner) crash() {
	u.cancel()
	_ = u.server.Close()
	u.fleet.record.add("runner", "%s crashes", u.id)
}
