package reporter

import (
	"encoding/json"
	"io"
)

// WriteJSON writes the report as one indented JSON value.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
