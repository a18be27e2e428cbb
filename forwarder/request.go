package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"celeryvalve/acceptor"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/reader"
	"celeryvalve/router"
)

// Headers of requests.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Celeryvalve-Deadline"
)

const maxKeyLength = 256

func (f *Forwarder) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.ctx, d)
}

// requestError is a problem with a request that is rejected before it is admitted,
// with the HTTP status to respond with.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string {
	return e.message
}

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status: status, message: fmt.Sprintf(format, args...)}
}

// readRequest reads the caller's request completely and classifies it.
func (f *Forwarder) readRequest(w http.ResponseWriter, r *http.Request, org identifier.Organisation, memory *reader.Reservation) (*exchange, error) {
	ex := newExchange(newRequestID())
	ex.startedAt = f.clock.Now()
	ex.method = r.Method
	service, path := splitPath(r)
	ex.path = path
	ex.header = forwardedHeader(r.Header)
	f.mu.Lock()
	settings := f.services[service]
	f.mu.Unlock()
	if settings.Allows != nil && !settings.Allows(org) {
		return nil, requestErrorf(http.StatusForbidden, "organisation %s may not call %s (ask the operator)", org, service)
	}
	deadline, err := f.deadlineOf(r, settings)
	if err != nil {
		return nil, err
	}
	class, key, err := classify(r, path, settings, ex.id)
	if err != nil {
		return nil, err
	}
	if ex.body, err = f.readBody(w, r, deadline, memory); err != nil {
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
		BodyDigest:   requestDigest(r.Method, path, digest),
		Fingerprint:  fingerprintOf(org, service, r.Method, path, digest),
		Prefixes:     prefixHashes(ex.body),
		Size:         identifier.ByteCount(len(ex.body)),
		Deadline:     deadline,
		Random:       f.random(),
	}
	return ex, nil
}

// authenticate returns the organisation that the request's bearer token belongs to.
func (f *Forwarder) authenticate(r *http.Request) (identifier.Organisation, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", requestErrorf(http.StatusUnauthorized, "no bearer token (send Authorization: Bearer TOKEN)")
	}
	org, err := f.authenticator.Authenticate(strings.TrimSpace(token))
	switch {
	case err == nil:
		return org, nil
	case explainer.KindOf(err) == explainer.Denied || explainer.KindOf(err) == explainer.NotFound:
		return "", requestErrorf(http.StatusUnauthorized, "the bearer token is not known (ask the operators for one)")
	}
	return "", requestErrorf(http.StatusServiceUnavailable, "tokens can't be checked now (try again later)")
}

// splitPath returns the service and the path for the upstream, including the query.
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

// deadlineOf returns the deadline of the request. The header HeaderDeadline holds a
// duration such as 30s or a time in RFC 3339. Without it, the timeout of the service
// or of the entry applies. The header can't ask for more than maxTimeout.
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
		return earlier(at, now.Add(maxTimeout)), nil
	}
	return now, requestErrorf(http.StatusBadRequest, "%s %q is malformed (write a duration such as 30s, or a time in RFC 3339)", HeaderDeadline, text)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// classify returns whether the request may run more than once. It also returns the
// idempotency key of one that may not: the caller's, or else one made from the id.
func classify(r *http.Request, path string, settings ServiceSettings, id identifier.RequestID) (router.Class, identifier.IdempotencyKey, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return "", "", requestErrorf(http.StatusBadRequest, "%s is longer than %d bytes (choose a shorter one)", HeaderIdempotencyKey, maxKeyLength)
	}
	if !utf8.ValidString(key) {
		return "", "", requestErrorf(http.StatusBadRequest, "%s %q is not valid UTF-8 (choose another one)", HeaderIdempotencyKey, key)
	}
	if key != "" {
		return router.NonIdempotent, identifier.IdempotencyKey(key), nil
	}
	repeatable := settings.Repeatable
	if repeatable == nil {
		repeatable = isRepeatableMethod
	}
	if repeatable(r.Method, path) {
		return router.Idempotent, "", nil
	}
	return router.NonIdempotent, identifier.IdempotencyKey("request:" + id), nil
}

// isRepeatableMethod is the default of ServiceSettings.Repeatable.
func isRepeatableMethod(method, _ string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// readBody reads the body until the deadline of the request, maxBodyTime or EndRequests.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, memory *reader.Reservation) ([]byte, error) {
	if r.ContentLength > int64(f.cfg.MaxBody) {
		return nil, f.tooLarge()
	}
	limit := reader.NewLimit(w)
	timer := f.clock.AfterFunc(min(maxBodyTime, deadline.Sub(f.clock.Now())), limit.Expire)
	defer timer.Stop()
	defer context.AfterFunc(f.ending, limit.Expire)()
	end := acceptor.BeginBody(r.Context())
	body, err := reader.ReadBytes(http.MaxBytesReader(w, r.Body, int64(f.cfg.MaxBody)), memory)
	closed := end()
	expired := limit.End()
	var maxBytesErr *http.MaxBytesError
	var noMemory *reader.NoMemoryError
	switch {
	case closed:
		return nil, requestErrorf(http.StatusServiceUnavailable, "the connection was closed for another one before the request body was complete (send the request again)")
	case expired && f.ending.Err() != nil:
		return nil, requestErrorf(http.StatusServiceUnavailable, "the entry ends before the request body is complete (send the request to another entry)")
	case errors.As(err, &maxBytesErr):
		return nil, f.tooLarge()
	case errors.As(err, &noMemory):
		return nil, requestErrorf(http.StatusServiceUnavailable, "too many large requests are under way (send again later)")
	case err != nil || expired:
		return nil, requestErrorf(http.StatusRequestTimeout, "the request body is incomplete (send the request again)")
	}
	return body, nil
}

func (f *Forwarder) tooLarge() error {
	return requestErrorf(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes (send less)", f.cfg.MaxBody)
}

// requestDigest returns the digest of the method, path and body. A key may not be used
// again for a request with another digest.
func requestDigest(method, path string, digest identifier.Digest) identifier.Digest {
	return identifier.DigestOf([]byte(method + "\n" + path + "\n" + digest.String()))
}

// fingerprintOf returns the hash by which the quarantine recognises equal requests.
func fingerprintOf(org identifier.Organisation, service identifier.Service, method, path string, digest identifier.Digest) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(digest[:], string(org), string(service), method, path)
}

const (
	// prefixBlockSize is in bytes.
	prefixBlockSize = 256
	maxPrefixes     = 64
)

// prefixHashes returns the hashes of the prefixes of the body whose lengths are
// multiples of prefixBlockSize, up to maxPrefixes of them.
func prefixHashes(body []byte) []router.PrefixHash {
	var prefixes []router.PrefixHash
	h := xxhash.New()
	for len(body) >= prefixBlockSize && len(prefixes) < maxPrefixes {
		_, _ = h.Write(body[:prefixBlockSize])
		prefixes = append(prefixes, router.PrefixHash(h.Sum64()))
		body = body[prefixBlockSize:]
	}
	return prefixes
}
