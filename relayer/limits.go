package relayer

import (
	"fmt"
	"net/http"
	"time"

	"celeryvalve/declarer"
)

const (
	// These defaults apply until limits are declared.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headerSlack is added to the declared limit, since callers may count the head otherwise.
	headerSlack = 4 << 10
	// maxHeaderBytes limits the bytes of a head that are read at all, whatever is declared.
	maxHeaderBytes = 1 << 20
	// serverIdleMargin is added to the declared idle timeout, so that the server does
	// not close a connection just as a caller reuses it.
	serverIdleMargin = 2 * time.Second
)

// limits returns the limits in force for callers.
func (r *Relayer) limits() declarer.Limits {
	var l declarer.Limits
	if index := r.index.Load(); index != nil {
		l = index.Declaration.Limits
	}
	l.HeaderBytes = int(positiveOr(int64(l.HeaderBytes), defaultHeaderBytes))
	l.BodyBytes = positiveOr(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = positiveOr(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = positiveOr(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// headerBytes returns the size of a request's head as it was sent, but for the host.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// headersProblem returns what is wrong with the size of a request's headers, or "".
func headersProblem(r *http.Request, limits declarer.Limits) string {
	if n := headerBytes(r); n > int64(limits.HeaderBytes)+headerSlack {
		return fmt.Sprintf("the headers have %d bytes and the limit is %d (send smaller ones)", n, limits.HeaderBytes)
	}
	return ""
}
