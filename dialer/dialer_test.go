package dialer_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/dialer"
)

// startServer starts a server that hands each connection to serve.
func startServer(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// upload is more than sockets buffer.
var upload = bytes.Repeat([]byte("x"), 16<<20)

// Guards against a reset that passes for the end of an answer: a failed write has taken its error.
func TestEndAfterAFailedWriteIsAnError(t *testing.T) {
	address := startServer(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "part")
		_ = conn.Close() // unread bytes reset the connection
	})
	conn, err := dialer.Dial(t.Context(), &net.Dialer{}, address)
	require.NoError(t, err)
	_, err = io.Copy(conn, bytes.NewReader(upload))
	require.Error(t, err)
	data, err := io.ReadAll(conn)
	require.Error(t, err)
	require.Equal(t, "part", string(data))
	require.NoError(t, conn.Close())
}

func TestEndWithoutAFailedWriteIsNone(t *testing.T) {
	address := startServer(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "whole")
		_ = conn.Close()
	})
	conn, err := dialer.Dial(t.Context(), &net.Dialer{}, address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
	require.NoError(t, conn.Close())
}

// exchange sends a request whose body is longer than what the server takes in before it answers.
func exchange(t *testing.T, answer string, body []byte) (*http.Response, string, error) {
	address := startServer(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil && len(body) < len(upload) {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	})
	client := &http.Client{Transport: dialer.NewTransport(&http.Transport{DisableKeepAlives: true})}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// Guards against answers of engines and origins that net/http takes for whole ones.
func TestTransportRefusesWhatIsNoWholeAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nright",
		"status 099":             "HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nright",
		"status 101":             "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nright",
		"status 600":             "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nright",
		"blank in a name":        "HTTP/1.1 200 X\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nright",
		"blank after a name":     "HTTP/1.1 200 X\r\nContent-Length : 5\r\n\r\nright",
		"control byte in a name": "HTTP/1.1 200 X\r\nX\x01Y: 1\r\nContent-Length: 5\r\n\r\nright",
		"blank in a hint":        "HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nright",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := exchange(t, answer, nil)
			require.Error(t, err)
		})
	}
	for range 20 {
		_, _, err := exchange(t, "HTTP/1.1 200 X\r\n\r\npart", upload)
		require.Error(t, err, "the connection is reset during the upload")
	}
}

func TestTransportTakesWholeAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length":    "HTTP/1.1 200 X\r\nX-Odd!#$: 1\r\nContent-Length: 5\r\n\r\nright",
		"in chunks":        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n",
		"without a length": "HTTP/1.1 200 X\r\n\r\nright",
		"after a hint":     "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nright",
	} {
		t.Run(name, func(t *testing.T) {
			response, body, err := exchange(t, answer, []byte(strings.Repeat("x", 1<<10)))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "right", body)
		})
	}
}
