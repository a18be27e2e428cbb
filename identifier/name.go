package identifier

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameLength is the length of the longest name, in bytes: more than a host name has, and short
// enough for the records of a full table to fit into few messages.
const MaxNameLength = 256

// CheckName returns an error that quotes the name unless every process can hold it: it is valid
// UTF-8, neither empty nor longer than MaxNameLength, and has no control characters. The
// replacement character counts as invalid, since decoders put it in place of bytes that they
// can't read. field says in the error what the name is.
func CheckName[T ~string](field string, name T) error {
	if name == "" {
		return fmt.Errorf("%s is empty", field)
	}
	return CheckOptionalName(field, name)
}

// CheckOptionalName is CheckName for a name that may be empty.
func CheckOptionalName[T ~string](field string, name T) error {
	if len(name) > MaxNameLength {
		return fmt.Errorf("%s %.64q... has %d bytes, but a name has at most %d", field, string(name), len(name), MaxNameLength)
	}
	return CheckText(field, name)
}

// CheckText is CheckOptionalName for a text of any length, such as a path.
func CheckText[T ~string](field string, value T) error {
	text := string(value)
	switch {
	case !utf8.ValidString(text) || strings.ContainsRune(text, utf8.RuneError):
		return fmt.Errorf("%s %q is not valid UTF-8", field, text)
	case strings.ContainsFunc(text, unicode.IsControl):
		return fmt.Errorf("%s %q has a control character", field, text)
	}
	return nil
}
