package certifier

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"celeryvalve/explainer"
)

// Source supplies one holder's certificate to TLS and reloads it when its files
// change. It is safe for concurrent use.
type Source struct {
	paths Paths

	mu          sync.Mutex
	loadedTimes fileTimes
	pair        *tls.Certificate
	roots       *x509.CertPool
}

// fileTimes holds the modification times of the three files. Two values differ
// when a file has changed in between.
type fileTimes struct {
	authority, certificate, key time.Time
}

// NewSource returns a source of the files at paths. They are read on first use.
func NewSource(paths Paths) *Source {
	return &Source{paths: paths}
}

// Check loads the files if they have changed, and returns an error if no usable pair could be loaded.
func (s *Source) Check() error {
	_, _, err := s.current()
	return err
}

// ServerConfig returns a TLS configuration for servers that requires each client to
// present a certificate of a trusted authority. Each handshake uses the files as
// they are then. The protocols are offered by ALPN.
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots, err := s.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// ClientConfig returns a TLS configuration for one dial, with the files as they are now.
// The protocols are offered by ALPN.
func (s *Source) ClientConfig(protocols ...string) (*tls.Config, error) {
	cert, roots, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
		ServerName:   ServerName,
	}, nil
}

// DeriveSecret derives a secret from the private key, so that only the holder of the key
// can compute it. The label names the purpose: different labels give unrelated
// secrets. The secret stays the same after a restart, until the key is renewed.
func (s *Source) DeriveSecret(label string) ([sha256.Size]byte, error) {
	var secret [sha256.Size]byte
	cert, _, err := s.current()
	if err != nil {
		return secret, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return secret, err
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	copy(secret[:], mac.Sum(nil))
	return secret, nil
}

// current returns the pair and the trusted authorities, and loads them first if a
// file has changed. If loading fails, it returns those that were loaded before; it
// returns an error only if there are none.
func (s *Source) current() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, err := s.statFiles()
	if err == nil && (s.pair == nil || times != s.loadedTimes) {
		err = s.load()
		if err == nil {
			s.loadedTimes = times
		}
	}
	if s.pair == nil {
		return nil, nil, err
	}
	return s.pair, s.roots, nil
}

// statFiles returns the modification times of the files.
func (s *Source) statFiles() (fileTimes, error) {
	var times [3]time.Time
	for i, path := range []string{s.paths.Authority, s.paths.Certificate, s.paths.PrivateKey} {
		info, err := os.Stat(path)
		if err != nil {
			return fileTimes{}, explainer.Wrap(err, explainer.NotFound, "can't read a key file",
				"issue keys with celeryvalve keys issue and name their folder in Keys.Folder")
		}
		times[i] = info.ModTime()
	}
	return fileTimes{times[0], times[1], times[2]}, nil
}

// load reads the files and, if all are valid, replaces the pair and the roots.
func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.paths.Certificate, s.paths.PrivateKey)
	if err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "the certificate and the private key can't be loaded as a pair",
			"issue them again with celeryvalve keys issue")
	}
	bundle, err := os.ReadFile(s.paths.Authority)
	if err != nil {
		return explainer.Wrap(err, explainer.NotFound, "can't read the authority's certificate", "copy authority.pem beside the certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(bundle) {
		return explainer.New(explainer.Corrupt, "authority.pem holds no certificate", "copy authority.pem again from the folder where keys are issued")
	}
	s.pair, s.roots = &cert, roots
	return nil
}
