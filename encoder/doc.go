// Package encoder turns typed messages into bytes and back.
//
// A frame is a CBOR array of the format version, the kind of the message, the
// configuration version of the sender and the message itself, a CBOR map whose
// names are the Go field names. A codec knows only the kinds that it was made
// with; anything else, and any malformed frame, is an error of kind Corrupt.
//
// # Usage
//
//	codec, err := encoder.New(encoder.Message[Heartbeat]("Heartbeat"))
//	frame, err := codec.Encode(version, Heartbeat{...})
//	header, msg, err := codec.Decode(frame)
//	switch m := msg.(type) { case *Heartbeat: ... }
package encoder
