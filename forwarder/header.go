package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"celeryvalve/router"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = map[string]bool{
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

// own are the headers of requests that end at the entry.
var own = map[string]bool{
	"Authorization":  true,
	"Host":           true,
	"Content-Length": true,
	"Expect":         true,
	HeaderDeadline:   true,
}

const ownPrefix = "Celeryvalve-"

// named returns the headers that the Connection header says belong to the
// connection.
func named(header http.Header) map[string]bool {
	names := make(map[string]bool)
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwardedHeader returns the fields that go to the upstream.
func forwardedHeader(header http.Header) []router.HeaderField {
	skip := named(header)
	var fields []router.HeaderField
	for name, values := range header {
		if hopByHop[name] || own[name] || skip[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, router.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// copyHeader writes the fields that go back to the caller.
func copyHeader(to http.Header, fields []router.HeaderField) {
	from := make(http.Header)
	for _, f := range fields {
		from.Add(f.Name, f.Value)
	}
	skip := named(from)
	for name, values := range from {
		if hopByHop[name] || skip[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		to[name] = values
	}
}

// copyTrailer announces nothing beforehand: the names are known only now.
func copyTrailer(to http.Header, fields []router.HeaderField) {
	for _, f := range fields {
		if !hopByHop[f.Name] && !strings.HasPrefix(f.Name, ownPrefix) {
			to.Add(http.TrailerPrefix+f.Name, f.Value)
		}
	}
}
