package encoder

import "reflect"

// Type returns the Go type of the entry's messages.
func (e MessageType) Type() reflect.Type {
	return e.typ
}
