package parser

import (
	"fmt"
	"strconv"
	"strings"
)

// Path names a value in a document. Keys are joined by points, and indexes of
// list elements are in brackets, as in Control.Members[0].Address. A key that
// is not a bare key of TOML is in double quotes.
type Path string

// isBare reports whether a key needs no quotes in TOML.
func isBare(key string) bool {
	for i := range len(key) {
		c := key[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '_' && c != '-' {
			return false
		}
	}
	return key != ""
}

// Key returns the path of a key inside p.
func (p Path) Key(name string) Path {
	if !isBare(name) {
		name = quote(name)
	}
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of an element of the list at p.
func (p Path) Index(n int) Path {
	return Path(fmt.Sprintf("%s[%d]", p, n))
}

// JoinPath returns the path that consists of the keys.
func JoinPath(keys ...string) Path {
	var p Path
	for _, key := range keys {
		p = p.Key(key)
	}
	return p
}

// Parent returns the path without its last key or index, and false at the root.
func (p Path) Parent() (Path, bool) {
	if p == "" {
		return "", false
	}
	end := 0
	quoted, escaped := false, false
	for i, c := range string(p) {
		switch {
		case escaped:
			escaped = false
		case c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case !quoted && (c == '.' || c == '['):
			end = i
		}
	}
	return p[:end], true
}

// Keys splits a path into its keys. A path with an index is an error.
func (p Path) Keys() ([]string, error) {
	var keys []string
	rest := string(p)
	for {
		key, after, err := cutKey(rest)
		if err != nil {
			return nil, fmt.Errorf("path %q: %w", p, err)
		}
		keys = append(keys, key)
		if after == "" {
			return keys, nil
		}
		if after[0] != '.' {
			return nil, fmt.Errorf("path %q: key %q is not followed by a point", p, key)
		}
		rest = after[1:]
	}
}

// cutKey splits the first key off text.
func cutKey(text string) (key, after string, err error) {
	if strings.HasPrefix(text, `"`) {
		quoted, err := strconv.QuotedPrefix(text)
		if err != nil {
			return "", "", fmt.Errorf("quoted key is malformed or its closing quote is missing")
		}
		key, err = strconv.Unquote(quoted)
		return key, text[len(quoted):], err
	}
	end := strings.IndexByte(text, '.')
	if end < 0 {
		end = len(text)
	}
	key = text[:end]
	if !isBare(key) {
		return "", "", fmt.Errorf("key %q must be in double quotes", key)
	}
	return key, text[end:], nil
}
