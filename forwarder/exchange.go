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

const pieceBuffer = 16

// piece is a part of an answer on its way to the caller: a head, some bytes or
// the trailer.
type piece struct {
	head    *router.ResponseHead
	data    []byte
	trailer []router.HeaderField
}

// exchange is one request with what its handler and its attempts share.
type exchange struct {
	id      identifier.RequestID
	arrived router.RequestArrived
	method  string
	path    string
	header  []router.HeaderField
	body    []byte
	digest  identifier.Digest
	began   time.Time

	pieces chan piece
	answer chan router.Answer
	done   chan struct{}

	mu     sync.Mutex
	passed identifier.AttemptID
	link   *link
}

func newExchange(id identifier.RequestID) *exchange {
	return &exchange{
		id:     id,
		pieces: make(chan piece, pieceBuffer),
		answer: make(chan router.Answer, 1),
		done:   make(chan struct{}),
	}
}

func (ex *exchange) letThrough(attempt identifier.AttemptID) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.passed = attempt
}

func (ex *exchange) passes(attempt identifier.AttemptID) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.passed == attempt
}

// finish hands the reducer's answer to the handler and ends the link.
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

// swap makes l the link of the exchange and ends the one before it.
func (ex *exchange) swap(l *link) (previous *link) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	previous = ex.link
	ex.link = l
	if previous != nil {
		previous.cancel()
	}
	return previous
}

// link is one stream of one attempt. Place goes over to the link that continues
// the attempt on another stream.
type link struct {
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan struct{}
	attempt  identifier.AttemptID
	holder   identifier.RequestID
	place    *place
}

func newLink(parent context.Context, attempt identifier.AttemptID, holder identifier.RequestID) *link {
	ctx, cancel := context.WithCancel(parent)
	return &link{
		ctx:      ctx,
		cancel:   cancel,
		finished: make(chan struct{}),
		attempt:  attempt,
		holder:   holder,
		place:    newPlace(),
	}
}

// place is how far an attempt's answer was taken over.
type place struct {
	head   *router.ResponseHead
	offset identifier.ByteCount
	sum    hash.Hash
}

func newPlace() *place {
	return &place{sum: sha256.New()}
}

// take adds bytes that continue the answer.
func (p *place) take(data []byte) {
	p.sum.Write(data)
	p.offset += identifier.ByteCount(len(data))
}

// whole reports whether the end fits everything that was taken over. The length
// that the head declares counts unless answers to the method have no body.
func (p *place) whole(end *router.ResponseEnd, method string) bool {
	if p.head == nil {
		return false
	}
	var digest identifier.Digest
	copy(digest[:], p.sum.Sum(nil))
	bodiless := method == http.MethodHead || p.head.Status == http.StatusNotModified
	declared := bodiless || p.head.Length < 0 || p.head.Length == end.Length
	return declared && end.Length == p.offset && end.Digest == digest
}
