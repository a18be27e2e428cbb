package relayer

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventSize is the largest event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, readerSize)}
}

// next returns the bytes of the next event, including the blank line that ends it,
// and its id. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the
// stream ends within an event, and bufio.ErrTooLong for an event larger than
// maxEventSize.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := e.r.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		if len(event) > maxEventSize {
			return nil, "", bufio.ErrTooLong
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if name, value, ok := bytes.Cut(text, []byte(":")); ok && string(name) == "id" {
			id = string(bytes.TrimSpace(value))
		}
	}
}
