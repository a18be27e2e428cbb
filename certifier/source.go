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

// Source serves one holder's certificate to TLS and follows changes of its files.
type Source struct {
	paths Paths

	mu    sync.Mutex
	stamp stamp
	cert  *tls.Certificate
	roots *x509.CertPool
}

// stamp tells whether any of the files changed.
type stamp struct {
	authority, certificate, key time.Time
}

// NewSource returns a source of the files at paths. They are read on first use.
func NewSource(paths Paths) *Source {
	return &Source{paths: paths}
}

// Check reads the files and reports what is wrong with them.
func (s *Source) Check() error {
	_, _, err := s.current()
	return err
}

// Server returns a TLS configuration that demands a certificate of the authority.
func (s *Source) Server(protocols ...string) *tls.Config {
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

// Client returns a TLS configuration for one dial, with the files as they are now.
func (s *Source) Client(protocols ...string) (*tls.Config, error) {
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

// Secret returns a secret that only the holder of the private key can know, the
// same after a restart, for the purpose of the label.
func (s *Source) Secret(label string) ([sha256.Size]byte, error) {
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

// current returns the pair in force. When the files changed but can't be read
// whole, the pair read before stays in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := s.readStamp()
	if err == nil && (s.cert == nil || now != s.stamp) {
		err = s.read()
		if err == nil {
			s.stamp = now
		}
	}
	if s.cert == nil {
		return nil, nil, err
	}
	return s.cert, s.roots, nil
}

func (s *Source) readStamp() (stamp, error) {
	var times [3]time.Time
	for i, path := range []string{s.paths.Authority, s.paths.Certificate, s.paths.PrivateKey} {
		info, err := os.Stat(path)
		if err != nil {
			return stamp{}, explainer.Wrap(err, explainer.NotFound, "can't read a key file",
				"issue keys with celeryvalve keys issue and name their folder in Keys.Folder")
		}
		times[i] = info.ModTime()
	}
	return stamp{times[0], times[1], times[2]}, nil
}

func (s *Source) read() error {
	cert, err := tls.LoadX509KeyPair(s.paths.Certificate, s.paths.PrivateKey)
	if err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "the certificate and key don't fit",
			"issue them again with celeryvalve keys issue")
	}
	bundle, err := os.ReadFile(s.paths.Authority)
	if err != nil {
		return explainer.Wrap(err, explainer.NotFound, "can't read the authority", "copy authority.pem beside the certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(bundle) {
		return explainer.New(explainer.Corrupt, "authority.pem holds no certificate", "copy it again from where keys are issued")
	}
	s.cert, s.roots = &cert, roots
	return nil
}
