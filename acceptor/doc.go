// Package acceptor serves HTTP to clients that the system does not control. It bounds what they take
// of a process before a handler sees their requests, and for as long as these are in progress: time,
// connections and memory.
//
// A connection is in one Phase at a time. The limits on its time are those in force, which may change
// while a server serves. One lock guards both the decision to close a connection and the beginning of
// a request, so that no request is served whose connection has been closed.
//
// A server that has all the connections that it may have closes one for a new client: one that is
// idle, or else the one whose client has been waited for the longest, to send the rest of a request or
// to read its answer. If there is none, it closes the new one, which has not been read.
//
// The memory of a head is reserved as its bytes come, and given back with the request. A line of a head
// takes many times its size, so lines count too.
//
// # Usage
//
//	server := acceptor.New(acceptor.Config{
//		Name:           "control",
//		MaxConnections: 256,
//		Limits:         func() acceptor.Limits { return limits },
//		Memory:         reader.NewBudget(1 << 20),
//		Clock:          clock,
//		Metrics:        set,
//		Log:            log,
//	}, acceptor.AnswerPromptly(handler))
//	err := server.Serve(listener)
//
// A handler that reads a body says so, as the connection may be closed for another one meanwhile:
//
//	end := acceptor.BeginBody(r.Context())
//	body, err := reader.ReadAll(r.Body, reservation)
//	if end() {
//		// The connection was closed. The request must not run.
//	}
package acceptor
