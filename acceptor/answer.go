package acceptor

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// unreadBodyTimeout is how long a server reads on in a body that its handler has not read whole. A
// connection that is closed before that is reset, and the client may lose the answer.
const unreadBodyTimeout = 50 * time.Millisecond

// AnswerPromptly returns a handler whose answers don't wait for a body that it has not read whole:
// net/http would read the rest of it before the answer is sent.
func AnswerPromptly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		p := &promptWriter{ResponseWriter: w, body: body}
		next.ServeHTTP(p, r)
		p.begin()
	})
}

// trackedBody notes whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// promptWriter leaves little time for the rest of the body as the answer begins.
type promptWriter struct {
	http.ResponseWriter
	body  *trackedBody
	begun bool
}

// begin limits the time for the rest of the body, and ends the connection after the answer. Once the
// body was read whole, a deadline would end the next request.
func (w *promptWriter) begin() {
	if w.begun || w.body.ended {
		return
	}
	w.begun = true
	w.Header().Set("Connection", "close")
	// The error is ignored because response recorders in tests have no deadlines.
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// WriteHeader begins the answer.
func (w *promptWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer, or goes on with it.
func (w *promptWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of net/http.
func (w *promptWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
