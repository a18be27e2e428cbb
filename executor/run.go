package executor

import (
	"context"
	"crypto/sha256"
	"hash"
	"sync"
	"sync/atomic"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	// maxBuffered bounds the bytes of a response that are buffered for one attempt.
	maxBuffered identifier.ByteCount = 4 << 20
	// resumeWindow is how many sent bytes stay in the buffer for a stream that resumes
	// the response. It is more than one stream can have in flight.
	resumeWindow identifier.ByteCount = 2 << 20
	chunkSize    identifier.ByteCount = 64 << 10
	// maxStoredBody is the size of the largest response body that the control plane
	// stores for a non-idempotent request.
	maxStoredBody identifier.ByteCount = 12 << 10
)

// run holds one attempt with the body of its request and its response.
type run struct {
	start router.AttemptStart
	body  []byte
	// deadline is that of the attempt. Silence of the upstream ends the run only after it.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	// connected reports that the HTTP client obtained a connection to the upstream, so
	// that bytes of the request may have been sent.
	connected atomic.Bool

	mu   sync.Mutex
	head *router.ResponseHead
	// buffer holds the bytes of the response body from the offset bufferStart on.
	buffer      []byte
	bufferStart identifier.ByteCount
	// sentEnd is the highest offset up to which any stream has sent the body.
	sentEnd     identifier.ByteCount
	readerCount int
	storedBody  []byte
	hash        hash.Hash
	end         *router.ResponseEnd
	// changed is closed and replaced at each change that may wake a waiter.
	changed chan struct{}
	stopped bool
}

// hasEnded reports whether the response is complete or the run was stopped.
func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil || r.stopped
}

func newRun(parent context.Context, start router.AttemptStart, body []byte, now time.Time) *run {
	ctx, cancel := context.WithCancel(parent)
	return &run{
		start:    start,
		body:     body,
		deadline: now.Add(start.Timeout),
		ctx:      ctx,
		cancel:   cancel,
		hash:     sha256.New(),
		changed:  make(chan struct{}),
	}
}

// notify wakes every goroutine that waits for a change of the run. mu is held.
func (r *run) notify() {
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
	r.notify()
}

func (r *run) setEnd(end *router.ResponseEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = end
	r.notify()
}

// length returns the length of the response body so far. mu is held.
func (r *run) length() identifier.ByteCount {
	return r.bufferStart + identifier.ByteCount(len(r.buffer))
}

// appendData adds bytes of the response body. It blocks while the buffer is full of
// bytes that are not sent yet. A non-idempotent attempt without a reader does not
// block: it must run to its end, and the oldest bytes are discarded.
func (r *run) appendData(p []byte) error {
	for {
		r.mu.Lock()
		if r.makeRoom(identifier.ByteCount(len(p))) {
			r.buffer = append(r.buffer, p...)
			r.hash.Write(p)
			r.appendStored(p)
			r.notify()
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

// makeRoom discards sent bytes before the resume window and reports whether n more
// bytes fit. For a non-idempotent attempt without a reader it makes them fit by
// discarding bytes that are not sent yet. mu is held.
func (r *run) makeRoom(n identifier.ByteCount) bool {
	if identifier.ByteCount(len(r.buffer))+n <= maxBuffered {
		return true
	}
	r.discardBefore(r.sentEnd - resumeWindow)
	if identifier.ByteCount(len(r.buffer))+n <= maxBuffered {
		return true
	}
	if r.start.Class == router.NonIdempotent && r.readerCount == 0 {
		r.discardBefore(r.length() + n - maxBuffered)
		return true
	}
	return false
}

// discardBefore discards the buffered bytes before the offset. mu is held.
func (r *run) discardBefore(offset identifier.ByteCount) {
	if offset <= r.bufferStart {
		return
	}
	offset = min(offset, r.length())
	r.buffer = append([]byte(nil), r.buffer[offset-r.bufferStart:]...)
	r.bufferStart = offset
}

// appendStored keeps the beginning of a non-idempotent response for the control plane.
// It keeps one byte more than maxStoredBody, which shows that the body is too large.
// mu is held.
func (r *run) appendStored(p []byte) {
	if r.start.Class != router.NonIdempotent {
		return
	}
	room := maxStoredBody + 1 - identifier.ByteCount(len(r.storedBody))
	r.storedBody = append(r.storedBody, p[:min(room, identifier.ByteCount(len(p)))]...)
}

func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerCount++
}

func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerCount--
	r.notify()
}

// cursor is the position of one stream in the response of a run.
type cursor struct {
	run      *run
	offset   identifier.ByteCount
	wantHead bool
	headSent bool
}

// next returns the next message of the response. If there is none yet, it returns nil
// and a channel that is closed when the run changes.
func (c *cursor) next() (msg any, changed <-chan struct{}) {
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.head == nil:
		return nil, r.changed
	case c.wantHead && !c.headSent:
		c.headSent = true
		return r.head, nil
	case c.offset < r.bufferStart || c.offset > r.length():
		return &router.AttemptGone{Request: r.start.Request, Attempt: r.start.Attempt, Reason: router.Unresumable}, nil
	case c.offset < r.length():
		return c.chunk(), nil
	case r.end != nil:
		return r.end, nil
	}
	return nil, r.changed
}

// chunk returns the next bytes of the body, at most chunkSize. The run's mu is held.
func (c *cursor) chunk() *router.ResponseData {
	r := c.run
	from := c.offset - r.bufferStart
	n := min(chunkSize, r.length()-c.offset)
	data := append([]byte(nil), r.buffer[from:from+n]...)
	return &router.ResponseData{Request: r.start.Request, Attempt: r.start.Attempt, Offset: c.offset, Data: data}
}

// advance moves the cursor to the end of data, which was sent.
func (c *cursor) advance(data *router.ResponseData) {
	c.offset = data.Offset + identifier.ByteCount(len(data.Data))
	r := c.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentEnd = max(r.sentEnd, c.offset)
	r.notify()
}
