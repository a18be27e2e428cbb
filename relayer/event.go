package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"celeryvalve/reader"
)

// maxEventSize is the largest event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventCapacity is what an event takes at first, in bytes: more than most have.
const eventCapacity = 256

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	r      *bufio.Reader
	memory *reader.Reservation
}

// newEventReader returns a reader that takes from memory what it allocates for an event. Who gets
// an event gives its capacity back.
func newEventReader(body io.Reader, memory *reader.Reservation) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, readerSize), memory: memory}
}

// next returns the bytes of the next event, including the blank line that ends it,
// and its id. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the
// stream ends within an event, and bufio.ErrTooLong for an event larger than
// maxEventSize, of which it reads no more.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		start := len(event)
		if event, err = e.appendLine(event); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		text := bytes.TrimRight(event[start:], "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if name, value, ok := bytes.Cut(text, []byte(":")); ok && string(name) == "id" {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// appendLine appends the next line to the event, part by part, so that none is read beyond
// maxEventSize.
func (e *eventReader) appendLine(event []byte) ([]byte, error) {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(event)+len(part) > maxEventSize {
			return event, bufio.ErrTooLong
		}
		var memoryErr error
		if event, memoryErr = e.grow(event, len(part)); memoryErr != nil {
			return event, memoryErr
		}
		event = append(event, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
	}
}

// grow returns the event with room for n further bytes.
func (e *eventReader) grow(event []byte, n int) ([]byte, error) {
	size := len(event) + n
	if size <= cap(event) {
		return event, nil
	}
	size = min(max(size, 2*cap(event), eventCapacity), maxEventSize)
	if err := e.memory.Grow(size); err != nil {
		return event, err
	}
	grown := append(make([]byte, 0, size), event...)
	e.memory.Shrink(cap(event))
	return grown, nil
}
