package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"celeryvalve/router"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// consumedHeaders are the request headers that are meant for the entry and are not
// sent to the upstream.
var consumedHeaders = map[string]bool{
	"Authorization":  true,
	"Host":           true,
	"Content-Length": true,
	"Expect":         true,
	HeaderDeadline:   true,
}

// reservedPrefix starts the names of headers that only the entry may set on responses.
const reservedPrefix = "Celeryvalve-"

// connectionHeaders returns the names that the Connection header lists. They apply to
// a single connection, like hopByHopHeaders.
func connectionHeaders(header http.Header) map[string]bool {
	names := make(map[string]bool)
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwardedHeader returns the request header fields that are sent to the upstream.
func forwardedHeader(header http.Header) []router.HeaderField {
	skip := connectionHeaders(header)
	var fields []router.HeaderField
	for name, values := range header {
		if hopByHopHeaders[name] || consumedHeaders[name] || skip[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, router.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// copyHeader copies the upstream's header fields to the caller's response, except
// hop-by-hop and reserved ones.
func copyHeader(to http.Header, fields []router.HeaderField) {
	from := make(http.Header)
	for _, f := range fields {
		from.Add(f.Name, f.Value)
	}
	skip := connectionHeaders(from)
	for name, values := range from {
		if hopByHopHeaders[name] || skip[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		to[name] = values
	}
}

// copyTrailer copies the upstream's trailer to the caller's response. It uses
// http.TrailerPrefix because the names are not known when the header is sent.
func copyTrailer(to http.Header, fields []router.HeaderField) {
	for _, f := range fields {
		if !hopByHopHeaders[f.Name] && !strings.HasPrefix(f.Name, reservedPrefix) {
			to.Add(http.TrailerPrefix+f.Name, f.Value)
		}
	}
}
