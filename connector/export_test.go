package connector

// Abandon closes the socket without a word to anyone, as a killed process does.
func (e *Endpoint) Abandon() {
	_ = e.transport.Conn.Close()
}
