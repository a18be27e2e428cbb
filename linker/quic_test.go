package linker_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"celeryvalve/linker"
)

const protocol = "echo"

func serverTLS(t *testing.T) *tls.Config {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(t, err)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}},
		NextProtos:   []string{protocol},
	}
}

func udpAddress(address string) *net.UDPAddr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))
}

// newTransport returns a QUIC transport, which runs all of its connections on one UDP
// socket.
func newTransport(t *testing.T, address string) *quic.Transport {
	socket, err := net.ListenUDP("udp", udpAddress(address))
	require.NoError(t, err)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return transport
}

// serveQUIC runs a server that echoes the first stream of every connection.
func serveQUIC(t *testing.T) {
	listener, err := newTransport(t, targetAddress).Listen(serverTLS(t), nil)
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				stream, err := conn.AcceptStream(context.Background())
				if err == nil {
					_, _ = io.Copy(stream, stream)
				}
			}()
		}
	}()
}

// TestQUICSilence guards against a Silence that also affects a newer connection between
// the same two UDP sockets.
func TestQUICSilence(t *testing.T) {
	link := newLink(t)
	serveQUIC(t)
	run(t, func(ctx context.Context) error {
		return link.ForwardUDP(ctx, linker.Forward{Listen: listenAddress, Target: targetAddress})
	})
	transport := newTransport(t, callerAddress)
	open := func() *quic.Stream {
		config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}}
		conn, err := transport.Dial(t.Context(), udpAddress(listenAddress), config, nil)
		require.NoError(t, err)
		stream, err := conn.OpenStreamSync(t.Context())
		require.NoError(t, err)
		return stream
	}
	echo := func(stream *quic.Stream, text string) {
		_, err := io.WriteString(stream, text)
		require.NoError(t, err)
		got := make([]byte, len(text))
		_, err = io.ReadFull(stream, got)
		require.NoError(t, err)
		require.Equal(t, text, string(got))
	}

	old := open()
	echo(old, "before")
	link.Silence()
	_, err := io.WriteString(old, "lost")
	require.NoError(t, err)
	fresh := open()
	echo(fresh, "after")
	require.NoError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout) // neither data nor a close
	require.True(t, timeout.Timeout())
	echo(fresh, "and still")
}
