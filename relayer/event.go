package relayer

import (
	"bufio"
	"bytes"
	"io"
)

// maxEvent is the largest event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, readerSize)}
}

// next returns the bytes of the next event with its end, and its id. A part of
// an event at the end of the stream is an unexpected end.
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
		if len(event) > maxEvent {
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
