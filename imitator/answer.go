package imitator

import (
	"fmt"
	"strings"

	"celeryvalve/identifier"
)

// Served names the weights that answer a request.
type Served struct {
	Model          identifier.Model
	Version        identifier.WeightVersion
	Adapter        identifier.Adapter
	AdapterVersion identifier.WeightVersion
}

// String returns "model@version", and "+adapter@version" with an adapter.
func (s Served) String() string {
	text := fmt.Sprintf("%s@%s", s.Model, s.Version)
	if s.Adapter != "" {
		text += fmt.Sprintf("+%s@%s", s.Adapter, s.AdapterVersion)
	}
	return text
}

// PromptHash returns the first 16 hexadecimal digits of the prompt's digest.
func PromptHash(prompt string) string {
	return identifier.DigestOf([]byte(prompt)).String()[:16]
}

// Tokens returns the n tokens of the answer of the weights to the prompt. The
// first one names the weights and the prompt's hash; the last one is "end".
func Tokens(served Served, prompt string, n int) []string {
	n = max(n, 1)
	tokens := make([]string, 0, n)
	tokens = append(tokens, fmt.Sprintf("%s:%s", served, PromptHash(prompt)))
	digits := identifier.DigestOf([]byte(tokens[0])).String()
	for i := 1; i < n-1; i++ {
		at := 4 * i % len(digits)
		tokens = append(tokens, fmt.Sprintf(" %d-%s", i, digits[at:at+4]))
	}
	if n > 1 {
		tokens = append(tokens, " end")
	}
	return tokens
}

// Text returns the whole answer as one text.
func Text(served Served, prompt string, n int) string {
	return strings.Join(Tokens(served, prompt, n), "")
}
