package loader

import "celeryvalve/encoder"

// Messages returns nothing: a loader speaks to its own upstream alone.
func Messages() []encoder.Entry {
	return nil
}
