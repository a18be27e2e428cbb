package executor

import (
	"context"
	"crypto/sha256"
	"hash"
	"sync"
	"sync/atomic"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	// bufferLimit bounds the answer's bytes that are kept of one attempt.
	bufferLimit identifier.ByteCount = 4 << 20
	// resumeWindow is how many sent bytes are kept for a stream that continues. It
	// is more than one stream can have under way.
	resumeWindow identifier.ByteCount = 2 << 20
	chunkSize    identifier.ByteCount = 64 << 10
	// maxStored bounds the body that control keeps of a non-idempotent answer.
	maxStored identifier.ByteCount = 12 << 10
)

// run is one attempt with its body and its answer.
type run struct {
	start  router.AttemptStart
	body   []byte
	ctx    context.Context
	cancel context.CancelFunc
	// connected says that a connection to the upstream was made or reused.
	connected atomic.Bool

	mu      sync.Mutex
	head    *router.ResponseHead
	kept    []byte
	base    identifier.ByteCount
	sent    identifier.ByteCount
	readers int
	stored  []byte
	sum     hash.Hash
	end     *router.ResponseEnd
	changed chan struct{}
	stopped bool
}

// ended reports whether the whole answer is there.
func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil || r.stopped
}

func newRun(parent context.Context, start router.AttemptStart, body []byte) *run {
	ctx, cancel := context.WithCancel(parent)
	return &run{
		start:   start,
		body:    body,
		ctx:     ctx,
		cancel:  cancel,
		sum:     sha256.New(),
		changed: make(chan struct{}),
	}
}

// wake tells every waiter that something changed. mu is held.
func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
}

func (r *run) wasStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

func (r *run) setHead(head *router.ResponseHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head
	r.wake()
}

func (r *run) setEnd(end *router.ResponseEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = end
	r.wake()
}

// total returns the length of the answer so far. mu is held.
func (r *run) total() identifier.ByteCount {
	return r.base + identifier.ByteCount(len(r.kept))
}

// append adds bytes of the answer. It blocks while the buffer is full and its
// bytes are not sent, unless nobody reads a non-idempotent answer: that one runs
// to its end.
func (r *run) append(p []byte) error {
	for {
		r.mu.Lock()
		if r.makeRoom(identifier.ByteCount(len(p))) {
			r.kept = append(r.kept, p...)
			r.sum.Write(p)
			r.store(p)
			r.wake()
			r.mu.Unlock()
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// makeRoom drops what is no longer needed and reports whether n bytes fit. mu is held.
func (r *run) makeRoom(n identifier.ByteCount) bool {
	if identifier.ByteCount(len(r.kept))+n <= bufferLimit {
		return true
	}
	r.trim(r.sent - resumeWindow)
	if identifier.ByteCount(len(r.kept))+n <= bufferLimit {
		return true
	}
	if r.start.Class == router.NonIdempotent && r.readers == 0 {
		r.trim(r.total() + n - bufferLimit)
		return true
	}
	return false
}

// trim drops the bytes before the offset. mu is held.
func (r *run) trim(offset identifier.ByteCount) {
	if offset <= r.base {
		return
	}
	offset = min(offset, r.total())
	r.kept = append([]byte(nil), r.kept[offset-r.base:]...)
	r.base = offset
}

// store keeps the beginning of a non-idempotent answer for control. mu is held.
func (r *run) store(p []byte) {
	if r.start.Class != router.NonIdempotent {
		return
	}
	room := maxStored + 1 - identifier.ByteCount(len(r.stored))
	r.stored = append(r.stored, p[:min(room, identifier.ByteCount(len(p)))]...)
}

func (r *run) join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) part() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.wake()
}

// feed is one stream's place in the answer of a run.
type feed struct {
	run      *run
	cursor   identifier.ByteCount
	wantHead bool
	headSent bool
}

// next returns the next message of the answer, or nil with a channel that is
// closed when there may be more.
func (f *feed) next() (msg any, changed <-chan struct{}) {
	r := f.run
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.head == nil:
		return nil, r.changed
	case f.wantHead && !f.headSent:
		f.headSent = true
		return r.head, nil
	case f.cursor < r.base || f.cursor > r.total():
		return &router.AttemptGone{Request: r.start.Request, Attempt: r.start.Attempt, Reason: router.Unresumable}, nil
	case f.cursor < r.total():
		return f.chunk(), nil
	case r.end != nil:
		return r.end, nil
	}
	return nil, r.changed
}

// chunk returns the next bytes. The run's mu is held.
func (f *feed) chunk() *router.ResponseData {
	r := f.run
	from := f.cursor - r.base
	n := min(chunkSize, r.total()-f.cursor)
	data := append([]byte(nil), r.kept[from:from+n]...)
	return &router.ResponseData{Request: r.start.Request, Attempt: r.start.Attempt, Offset: f.cursor, Data: data}
}

// sent takes in that the bytes up to the end of data were sent.
func (f *feed) sent(data *router.ResponseData) {
	f.cursor = data.Offset + identifier.ByteCount(len(data.Data))
	r := f.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = max(r.sent, f.cursor)
	r.wake()
}
