package loader

import "celeryvalve/encoder"

// Messages returns nil: a loader communicates only with its own upstream, over HTTP.
func Messages() []encoder.MessageType {
	return nil
}
