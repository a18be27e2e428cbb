package certifier

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/google/renameio/v2"

	"celeryvalve/explainer"
)

// Role is a set of permissions that a certificate grants its holder. A
// certificate may carry several roles.
type Role string

// The roles: entries, control replicas, agents beside upstreams, and operators
// with their client.
const (
	Entry    Role = "Entry"
	Control  Role = "Control"
	Agent    Role = "Agent"
	Operator Role = "Operator"
)

// ServerName is the DNS name in every issued certificate, which clients verify.
// Processes are dialled by IP address and identified by the common name, so all
// certificates can share one DNS name.
const ServerName = "celeryvalve"

const (
	authorityName     = "authority"
	authorityValidity = 10 * 365 * 24 * time.Hour
	// CertificateValidity is how long a certificate from Issue or Renew is valid.
	CertificateValidity = 90 * 24 * time.Hour
	// clockSkew is how far NotBefore lies before the time of issue, so that a
	// machine whose clock is slow accepts a new certificate.
	clockSkew  = 5 * time.Minute
	keyMode    = 0o600
	certMode   = 0o644
	folderMode = 0o700
	serialBits = 120
)

var holderName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Authority is a certificate authority whose files lie in one folder. It issues
// certificates into the same folder.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// Paths names the three PEM files that a process needs: the trusted authority
// certificates, its own certificate and its private key.
type Paths struct {
	Authority   string
	Certificate string
	PrivateKey  string
}

// PathsIn returns the paths of the files of the holder called name in the folder.
func PathsIn(folder, name string) Paths {
	return Paths{
		Authority:   filepath.Join(folder, authorityName+".pem"),
		Certificate: filepath.Join(folder, name+".pem"),
		PrivateKey:  filepath.Join(folder, name+"-key.pem"),
	}
}

// CreateAuthority makes a new authority in the folder, which it creates if
// needed. It returns Conflict if the folder has an authority key already.
func CreateAuthority(folder string, now time.Time) (*Authority, error) {
	return createAuthority(folder, now, nil)
}

// RotateAuthority makes a new authority, replaces the authority key in the folder
// and puts the new certificate before the old ones in authority.pem. Both
// authorities are trusted until the old certificate is removed from that file.
func RotateAuthority(folder string, now time.Time) (*Authority, error) {
	old, err := os.ReadFile(PathsIn(folder, authorityName).Authority)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "no authority to rotate", "run celeryvalve keys init first")
	}
	return createAuthority(folder, now, old)
}

// createAuthority makes an authority and writes its files. Trusted holds the PEM
// certificates that stay trusted after a rotation; if it is nil, an existing
// authority is not replaced.
func createAuthority(folder string, now time.Time, trusted []byte) (*Authority, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, "can't make the keys folder", "choose a folder that can be written")
	}
	paths := PathsIn(folder, authorityName)
	if trusted == nil {
		if _, err := os.Stat(paths.PrivateKey); !errors.Is(err, fs.ErrNotExist) {
			return nil, explainer.New(explainer.Conflict, "the folder has an authority already",
				"choose another folder, or run celeryvalve keys rotate")
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "celeryvalve authority " + now.UTC().Format(time.RFC3339)},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	cert, encoded, err := sign(template, nil, key, key)
	if err != nil {
		return nil, err
	}
	if err := writePair(paths, append(encoded, trusted...), key); err != nil {
		return nil, err
	}
	return &Authority{folder: folder, cert: cert, key: key}, nil
}

// OpenAuthority reads the newest authority of the folder: the first certificate
// in authority.pem and its key.
func OpenAuthority(folder string) (*Authority, error) {
	paths := PathsIn(folder, authorityName)
	const remedy = "run celeryvalve keys init, or name the folder that holds authority.pem and authority-key.pem"
	certPEM, err := os.ReadFile(paths.Authority)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "can't read the authority's certificate", remedy)
	}
	keyPEM, err := os.ReadFile(paths.PrivateKey)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "can't read the authority's key", remedy)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, explainer.New(explainer.Corrupt, "the authority's files are not PEM", remedy)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Corrupt, "the authority's certificate is malformed", remedy)
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Corrupt, "the authority's key is malformed", remedy)
	}
	return &Authority{folder: folder, cert: cert, key: key}, nil
}

// Issue makes a new key and certificate for the holder, valid for CertificateValidity,
// and writes them to the authority's folder. Existing files are replaced.
func (a *Authority) Issue(name string, roles []Role, now time.Time) error {
	return a.IssueFor(name, roles, now, CertificateValidity)
}

// IssueFor is like Issue, with a certificate that is valid for the given duration
// from now on.
func (a *Authority) IssueFor(name string, roles []Role, now time.Time, validity time.Duration) error {
	if !holderName.MatchString(name) || name == authorityName {
		return explainer.New(explainer.InvalidInput, fmt.Sprintf("holder name %q is not usable", name),
			"use letters, digits, dots, dashes and underscores, 100 at most, other than authority")
	}
	if len(roles) == 0 {
		return explainer.New(explainer.InvalidInput, "a certificate needs a role", "name at least one of Entry, Control, Agent, Operator")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	units := make([]string, 0, len(roles))
	for _, role := range roles {
		units = append(units, string(role))
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(validity),
		DNSNames:    []string{ServerName},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	_, encoded, err := sign(template, a.cert, key, a.key)
	if err != nil {
		return err
	}
	return writePair(PathsIn(a.folder, name), encoded, key)
}

// Renew issues a new key and certificate with the roles of the holder's present
// certificate.
func (a *Authority) Renew(name string, now time.Time) error {
	certPEM, err := os.ReadFile(PathsIn(a.folder, name).Certificate)
	if err != nil {
		return explainer.Wrap(err, explainer.NotFound, fmt.Sprintf("no certificate of %q to renew", name),
			"issue one with celeryvalve keys issue")
	}
	block, _ := pem.Decode(certPEM)
	if block == nil {
		return explainer.New(explainer.Corrupt, "the certificate is not PEM", "issue a new one with celeryvalve keys issue")
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "the certificate is malformed", "issue a new one with celeryvalve keys issue")
	}
	return a.Issue(name, RolesOf(cert), now)
}

// RolesOf returns the roles that a certificate grants: its organisational units.
func RolesOf(cert *x509.Certificate) []Role {
	roles := make([]Role, 0, len(cert.Subject.OrganizationalUnit))
	for _, unit := range cert.Subject.OrganizationalUnit {
		roles = append(roles, Role(unit))
	}
	return roles
}

// sign gives the template a random serial number and signs it as a certificate
// of key. It is self-signed if parent is nil. sign returns the certificate parsed
// and in PEM.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, []byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, err
	}
	template.SerialNumber = serial
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, err
	}
	return cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), nil
}

// writePair writes the key before the certificate. A Source that reads between
// the two writes finds a new key with an old certificate, which do not match, and
// keeps using the pair that it loaded before.
func writePair(paths Paths, certPEM []byte, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	var keyPEM bytes.Buffer
	if err := pem.Encode(&keyPEM, &pem.Block{Type: "EC PRIVATE KEY", Bytes: der}); err != nil {
		return err
	}
	if err := renameio.WriteFile(paths.PrivateKey, keyPEM.Bytes(), keyMode); err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "can't write the key", "check the folder's mode and free space")
	}
	if err := renameio.WriteFile(paths.Certificate, certPEM, certMode); err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "can't write the certificate", "check the folder's mode and free space")
	}
	return nil
}
