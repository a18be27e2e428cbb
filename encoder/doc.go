// Package encoder encodes typed messages as frames of bytes and decodes them.
//
// A frame is a CBOR array of four elements: the format version, the kind of the
// message, the configuration version of the sender, and the message itself. The
// message is a CBOR map whose keys are the names of the Go fields. A codec decodes
// only the kinds that were passed to New. Any other kind, and any malformed frame, is
// an error of kind Corrupt. It encodes nothing that it could not decode.
//
// New is for messages between processes, NewForLog for the commands of a replicated log, and
// NewForSnapshots for the parts of a state on disk.
//
// # Usage
//
//	codec, err := encoder.New(encoder.Message[Heartbeat]("Heartbeat"))
//	frame, err := codec.Encode(version, Heartbeat{...})
//	header, msg, err := codec.Decode(frame)
//	switch m := msg.(type) { case *Heartbeat: ... }
package encoder
