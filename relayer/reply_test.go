package relayer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// slowDeadlines is a caller's connection on which it takes until release to set a deadline.
type slowDeadlines struct {
	*httptest.ResponseRecorder
	begun, release chan struct{}
}

func (w *slowDeadlines) SetWriteDeadline(time.Time) error {
	close(w.begun)
	<-w.release
	return nil
}

// Guards against a kept connection on which a later answer is cut off: the time limit of the answer
// before was set after that was over.
func TestLimitOfAnAnswerIsNotSetAfterIt(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	silent := startUpstream(t, func(net.Conn, *http.Request) { leave() })
	server := startRelayer(t, declarer.Idempotent, false, silent.view("silent"))
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a.example/slots/1", strings.NewReader("body"))
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Key", "k")
	w := &slowDeadlines{ResponseRecorder: httptest.NewRecorder(), begun: make(chan struct{}), release: make(chan struct{})}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		defer func() { _ = recover() }() // the answer is aborted, since the caller has left
		server.Config.Handler.ServeHTTP(w, r)
	}()
	<-w.begun
	require.Never(t, func() bool {
		select {
		case <-returned:
			return true
		default:
			return false
		}
	}, 100*time.Millisecond, time.Millisecond)
	close(w.release)
	<-returned
}
