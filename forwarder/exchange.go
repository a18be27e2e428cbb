package forwarder

import (
	"context"
	"crypto/sha256"
	"hash"
	"net/http"
	"sync"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

// partBuffer is how many parts of a response may wait for the caller.
const partBuffer = 16

// responsePart is a head, some bytes of the body or the trailer of a response.
type responsePart struct {
	head    *router.ResponseHead
	data    []byte
	trailer []router.HeaderField
}

// exchange is one request and the state that its handler and its attempts share.
type exchange struct {
	id        identifier.RequestID
	arrived   router.RequestArrived
	method    string
	path      string
	header    []router.HeaderField
	body      []byte
	digest    identifier.Digest
	startedAt time.Time

	parts  chan responsePart
	answer chan router.Answer
	done   chan struct{}

	mu       sync.Mutex
	selected identifier.AttemptID
	link     *link
}

func newExchange(id identifier.RequestID) *exchange {
	return &exchange{
		id:     id,
		parts:  make(chan responsePart, partBuffer),
		answer: make(chan router.Answer, 1),
		done:   make(chan struct{}),
	}
}

// selectAttempt makes attempt the one whose response goes to the caller.
func (ex *exchange) selectAttempt(attempt identifier.AttemptID) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.selected = attempt
}

// isSelected reports whether the response of attempt goes to the caller.
func (ex *exchange) isSelected(attempt identifier.AttemptID) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.selected == attempt
}

// finish hands the reducer's answer to the handler and cancels the link.
func (ex *exchange) finish(answer router.Answer) {
	ex.mu.Lock()
	l := ex.link
	ex.mu.Unlock()
	if l != nil {
		l.cancel()
	}
	ex.answer <- answer
	close(ex.done)
}

// replaceLink makes l the link of the exchange and cancels the previous one, which
// may be nil.
func (ex *exchange) replaceLink(l *link) (previous *link) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	previous = ex.link
	ex.link = l
	if previous != nil {
		previous.cancel()
	}
	return previous
}

// link is one stream between the entry and an agent for one attempt. If another
// stream continues the attempt, its link takes over the progress.
type link struct {
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan struct{}
	attempt  identifier.AttemptID
	// holder is the request that the attempt belongs to at the agent.
	holder identifier.RequestID
	// handedOver is set before the end mark of the body is sent. Without it the agent never
	// starts the attempt. It and progress may be read by others once finished is closed.
	handedOver bool
	progress   *progress
}

func newLink(parent context.Context, attempt identifier.AttemptID, holder identifier.RequestID) *link {
	ctx, cancel := context.WithCancel(parent)
	return &link{
		ctx:      ctx,
		cancel:   cancel,
		finished: make(chan struct{}),
		attempt:  attempt,
		holder:   holder,
		progress: newProgress(),
	}
}

// progress is how much of an attempt's response was received: the head, the length of
// the body so far, and the state of its digest.
type progress struct {
	head   *router.ResponseHead
	offset identifier.ByteCount
	sum    hash.Hash
}

func newProgress() *progress {
	return &progress{sum: sha256.New()}
}

// add adds data that continues the body.
func (p *progress) add(data []byte) {
	p.sum.Write(data)
	p.offset += identifier.ByteCount(len(data))
}

// isComplete reports whether the length and digest in end match the body received.
// The length that the head declares must match too, unless responses to the method
// or with the status have no body.
func (p *progress) isComplete(end *router.ResponseEnd, method string) bool {
	if p.head == nil {
		return false
	}
	var digest identifier.Digest
	copy(digest[:], p.sum.Sum(nil))
	noBody := method == http.MethodHead || p.head.Status == http.StatusNotModified
	lengthMatches := noBody || p.head.Length < 0 || p.head.Length == end.Length
	return lengthMatches && end.Length == p.offset && end.Digest == digest
}
