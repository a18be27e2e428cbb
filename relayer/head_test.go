package relayer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
)

// answerWith returns an answer to the first attempt whose head has these lines besides.
func answerWith(status, lines, body string) string {
	return "HTTP/1.1 " + status + " X\r\nAttempt: a1\r\nSignature: s\r\n" + lines + "\r\n" + body
}

// requireNoAnswer requires that the caller of a long upload is told of a failure.
func requireNoAnswer(t *testing.T, kind declarer.RequestKind, answer string) {
	route := declarer.Route{Kind: kind, Timeout: requestTimeout, MaximumAttempts: 2}
	server, _ := startRoute(t, clockwork.NewFakeClockAt(time.Now()), route, startEarly(t, answer))
	o := wait(t, startCall(t, server, strings.Repeat("b", longBody), 0).outcome, "the request ends")
	require.True(t, o.err != nil || o.status == http.StatusBadGateway, "%+v", o)
}

// Guards against a part of an answer that passes for the whole: the answer has no length, and the
// upstream resets the connection while the upload is still being written.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		kind   declarer.RequestKind
		answer string
	}{
		"not repeatable":   {declarer.NonIdempotent, answerWith("200", "", "part")},
		"repeatable":       {declarer.Idempotent, answerWith("200", "", "part")},
		"an error":         {declarer.NonIdempotent, answerWith("404", "", "part")},
		"stream":           {declarer.Streaming, answerWith("200", "Content-Type: text/event-stream\r\n", "id: 0\ndata: x\n\n")},
		"cut-off length":   {declarer.NonIdempotent, answerWith("200", "Content-Length: 9\r\n", "part")},
		"cut-off chunks":   {declarer.NonIdempotent, answerWith("200", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n")},
		"an older version": {declarer.NonIdempotent, strings.Replace(answerWith("200", "", "part"), "HTTP/1.1", "HTTP/1.0", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, test.kind, test.answer)
		})
	}
}

// Guards against an answer whose status is none, and against what follows it being taken for the
// answer.
func TestAnswerWithoutAStatusOfHTTPIsNone(t *testing.T) {
	const whole = "Content-Length: 5\r\n"
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, answer := range map[string]string{
			"alone":             answerWith(status, whole, "right"),
			"before another":    answerWith(status, "Content-Length: 0\r\n", "") + answerWith("200", whole, "right"),
			"without a length":  answerWith(status, "", "right"),
			"after information": "HTTP/1.1 103 X\r\n\r\n" + answerWith(status, whole, "right"),
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				requireNoAnswer(t, declarer.NonIdempotent, answer)
			})
		}
	}
}

// Guards against a field name with a blank or a control byte, which is passed on, or hides the
// length of the answer.
func TestAnswerWithAnInvalidFieldNameIsNone(t *testing.T) {
	for name, lines := range map[string]string{
		"blank inside":           "X Y: 1\r\nContent-Length: 5\r\n",
		"blank before the colon": "Content-Length : 5\r\nContent-Length: 5\r\n",
		"control byte":           "X\x01Y: 1\r\nContent-Length: 5\r\n",
		"no name":                ": 1\r\nContent-Length: 5\r\n",
		"hidden chunks":          "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n",
	} {
		for place, answer := range map[string]string{
			"":                  answerWith("200", lines, "right"),
			" of a stream":      answerWith("200", "Content-Type: text/event-stream\r\n"+strings.ReplaceAll(lines, ": 5", ": 15"), "id: 0\ndata: x\n\n"),
			" of a hint before": "HTTP/1.1 103 X\r\n" + strings.Replace(lines, "Content-Length: 5\r\n", "", 1) + "\r\n" + answerWith("200", "Content-Length: 5\r\n", "right"),
		} {
			t.Run(name+place, func(t *testing.T) {
				t.Parallel()
				requireNoAnswer(t, declarer.NonIdempotent, answer)
			})
		}
	}
}
