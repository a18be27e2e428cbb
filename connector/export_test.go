package connector

import "encoding/binary"

// ReadFrame is readFrame.
var ReadFrame = readFrame

// Abandon closes the UDP socket without notifying the peers, as if the process had
// been killed.
func (e *Endpoint) Abandon() {
	_ = e.transport.Conn.Close()
}

// Announce sends the length of a frame, and nothing of it.
func (s *Stream) Announce(size uint32) error {
	_, err := s.raw.Write(binary.BigEndian.AppendUint32(nil, size))
	return err
}
