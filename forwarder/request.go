package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

// The headers of requests.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "Celeryvalve-Deadline"
)

const maxKeyLength = 256

func (f *Forwarder) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.ctx, d)
}

// fault is a request that is answered before it is admitted.
type fault struct {
	status  int
	message string
}

func (e *fault) Error() string {
	return e.message
}

func faultf(status int, format string, args ...any) error {
	return &fault{status: status, message: fmt.Sprintf(format, args...)}
}

// read takes in the caller's request whole.
func (f *Forwarder) read(w http.ResponseWriter, r *http.Request, org identifier.Organisation) (*exchange, error) {
	ex := newExchange(newRequestID())
	ex.began = f.clock.Now()
	ex.method = r.Method
	service, path := splitPath(r)
	ex.path = path
	ex.header = forwardedHeader(r.Header)
	f.mu.Lock()
	settings := f.services[service]
	f.mu.Unlock()
	if settings.Allows != nil && !settings.Allows(org) {
		return nil, faultf(http.StatusForbidden, "organisation %s may not call %s (ask the operator)", org, service)
	}
	deadline, err := f.deadlineOf(r, settings)
	if err != nil {
		return nil, err
	}
	class, key, err := classOf(r, path, settings, ex.id)
	if err != nil {
		return nil, err
	}
	if ex.body, err = f.readBody(w, r); err != nil {
		return nil, err
	}
	digest := identifier.DigestOf(ex.body)
	ex.digest = digest
	ex.arrived = router.RequestArrived{
		ID:           ex.id,
		Organisation: org,
		Service:      service,
		Class:        class,
		Key:          key,
		BodyDigest:   bodyDigest(r.Method, path, digest),
		Fingerprint:  fingerprintOf(org, service, r.Method, path, digest),
		Prefixes:     prefixesOf(ex.body),
		Size:         identifier.ByteCount(len(ex.body)),
		Deadline:     deadline,
		Random:       f.random(),
	}
	return ex, nil
}

func (f *Forwarder) organisationOf(r *http.Request) (identifier.Organisation, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", faultf(http.StatusUnauthorized, "no bearer token (send Authorization: Bearer TOKEN)")
	}
	org, err := f.organisations.Authenticate(strings.TrimSpace(token))
	switch {
	case err == nil:
		return org, nil
	case explainer.KindOf(err) == explainer.Denied || explainer.KindOf(err) == explainer.NotFound:
		return "", faultf(http.StatusUnauthorized, "the bearer token is not known (ask the operators for one)")
	}
	return "", faultf(http.StatusServiceUnavailable, "tokens can't be checked now (try again later)")
}

// splitPath returns the service and the upstream's path with its query.
func splitPath(r *http.Request) (identifier.Service, string) {
	service := mux.Vars(r)["service"]
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return identifier.Service(service), path
}

// deadlineOf reads the deadline: a duration such as 30s, or a time in RFC 3339.
func (f *Forwarder) deadlineOf(r *http.Request, settings ServiceSettings) (time.Time, error) {
	now := f.clock.Now()
	text := r.Header.Get(HeaderDeadline)
	if text == "" && settings.Timeout > 0 {
		return now.Add(settings.Timeout), nil
	}
	if text == "" {
		return now.Add(f.cfg.Timeout), nil
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(min(d, maxTimeout)), nil
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return minTime(at, now.Add(maxTimeout)), nil
	}
	return now, faultf(http.StatusBadRequest, "%s %q is malformed (write a duration such as 30s, or a time in RFC 3339)", HeaderDeadline, text)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// classOf returns whether the request may run more than once, and the key of
// one that may not. A request without the caller's key has its own id as key.
func classOf(r *http.Request, path string, settings ServiceSettings, id identifier.RequestID) (router.Class, identifier.IdempotencyKey, error) {
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyLength {
		return "", "", faultf(http.StatusBadRequest, "%s is longer than %d bytes (choose a shorter one)", HeaderKey, maxKeyLength)
	}
	if key != "" {
		return router.NonIdempotent, identifier.IdempotencyKey(key), nil
	}
	repeatable := settings.Repeatable
	if repeatable == nil {
		repeatable = repeatableMethod
	}
	if repeatable(r.Method, path) {
		return router.Idempotent, "", nil
	}
	return router.NonIdempotent, identifier.IdempotencyKey("request:" + id), nil
}

func repeatableMethod(method, _ string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// reserve makes room for the body among those of all requests under way. The
// returned function gives it back.
func (f *Forwarder) reserve(r *http.Request) (release func(), err error) {
	size := identifier.ByteCount(r.ContentLength)
	if size < 0 {
		size = f.cfg.MaxBody
	}
	if size > f.cfg.MaxBody {
		return nil, f.tooLarge()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bodies+size > f.cfg.MaxBodies {
		return nil, faultf(http.StatusServiceUnavailable, "too many large requests are under way (send again later)")
	}
	f.bodies += size
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.bodies -= size
	}, nil
}

func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// The kernel's clock bounds a slow caller. A recorder in a test has no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(f.cfg.MaxBody)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, f.tooLarge()
	case err != nil:
		return nil, faultf(http.StatusRequestTimeout, "the body broke off (send the request again)")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (f *Forwarder) tooLarge() error {
	return faultf(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes (send less)", f.cfg.MaxBody)
}

// bodyDigest identifies what a key was used for: method, path and body.
func bodyDigest(method, path string, digest identifier.Digest) identifier.Digest {
	return identifier.DigestOf([]byte(method + "\n" + path + "\n" + digest.String()))
}

func fingerprintOf(org identifier.Organisation, service identifier.Service, method, path string, digest identifier.Digest) router.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{string(org), string(service), method, path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(digest[:])
	return router.Fingerprint(h.Sum64())
}

const (
	prefixBlock = 256
	maxPrefixes = 64
)

// prefixesOf returns the hashes of the body's beginnings, block by block.
func prefixesOf(body []byte) []router.PrefixHash {
	var prefixes []router.PrefixHash
	h := xxhash.New()
	for len(body) >= prefixBlock && len(prefixes) < maxPrefixes {
		_, _ = h.Write(body[:prefixBlock])
		prefixes = append(prefixes, router.PrefixHash(h.Sum64()))
		body = body[prefixBlock:]
	}
	return prefixes
}
