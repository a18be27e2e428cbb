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

// Role is what the holder of a certificate may do.
type Role string

// The roles of holders.
const (
	Entry    Role = "Entry"
	Control  Role = "Control"
	Agent    Role = "Agent"
	Operator Role = "Operator"
)

// ServerName is the DNS name in every certificate: processes are reached by IP
// number, and their identity is the common name.
const ServerName = "celeryvalve"

const (
	authorityName     = "authority"
	authorityValidity = 10 * 365 * 24 * time.Hour
	// HolderValidity is how long an issued certificate is valid.
	HolderValidity = 90 * 24 * time.Hour
	clockSkew      = 5 * time.Minute
	keyMode        = 0o600
	certMode       = 0o644
	folderMode     = 0o700
	serialBits     = 120
)

var holderName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Authority issues certificates.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// Paths are the three files that a process needs.
type Paths struct {
	Authority   string
	Certificate string
	PrivateKey  string
}

// PathsIn returns the paths of the holder's files in the folder.
func PathsIn(folder, name string) Paths {
	return Paths{
		Authority:   filepath.Join(folder, authorityName+".pem"),
		Certificate: filepath.Join(folder, name+".pem"),
		PrivateKey:  filepath.Join(folder, name+"-key.pem"),
	}
}

// CreateAuthority makes a new authority in the folder. It refuses to replace one.
func CreateAuthority(folder string, now time.Time) (*Authority, error) {
	return createAuthority(folder, now, nil)
}

// RotateAuthority makes a new authority beside the one in the folder. Both are
// trusted until the old certificate is removed from authority.pem.
func RotateAuthority(folder string, now time.Time) (*Authority, error) {
	old, err := os.ReadFile(PathsIn(folder, authorityName).Authority)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "no authority to rotate", "run celeryvalve keys init first")
	}
	return createAuthority(folder, now, old)
}

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

// OpenAuthority reads the newest authority of the folder.
func OpenAuthority(folder string) (*Authority, error) {
	paths := PathsIn(folder, authorityName)
	const remedy = "run celeryvalve keys init, or name the folder that holds authority.pem and authority-key.pem"
	certPEM, err := os.ReadFile(paths.Authority)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.NotFound, "can't read the authority", remedy)
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

// Issue makes or renews the holder's key and certificate in the folder.
func (a *Authority) Issue(name string, roles []Role, now time.Time) error {
	return a.IssueFor(name, roles, now, HolderValidity)
}

// IssueFor makes or renews a certificate that is valid for so long from now.
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

// Renew issues the holder's certificate again, with the roles that it has.
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

// RolesOf returns the roles that a certificate gives its holder.
func RolesOf(cert *x509.Certificate) []Role {
	roles := make([]Role, 0, len(cert.Subject.OrganizationalUnit))
	for _, unit := range cert.Subject.OrganizationalUnit {
		roles = append(roles, Role(unit))
	}
	return roles
}

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

// writePair puts the key before the certificate: a reader that meets a new key
// with an old certificate refuses the pair and keeps the one it has.
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
