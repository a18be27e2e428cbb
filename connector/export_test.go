package connector

// Abandon closes the UDP socket without notifying the peers, as if the process had
// been killed.
func (e *Endpoint) Abandon() {
	_ = e.transport.Conn.Close()
}
