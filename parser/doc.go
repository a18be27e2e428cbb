// Package parser reads the project's TOML files strictly. It reports all faults
// of a file together, each with its line, its path and its remedy.
//
// Decode and DecodeInto read into any struct whose exported fields are named
// like the keys of the file. An unknown key, a value of the wrong type, a
// number without its unit and an address that is not an IP number are faults.
// Decoding continues after a fault, so that one run reports all of them. A
// Document keeps the position of each path, so that later checks of the decoded
// value can report positions too.
//
// A string is decoded into a string field, an Enumeration, a type that
// implements encoding.TextUnmarshaler, or one of three quantities that have a
// unit: a duration ("2s"), a rate ("20Mbit/s", "5MB/s") or a size ("512MiB").
//
// Settings holds the settings file of the daemon, celeryvalved.
//
// # Usage
//
//	settings, err := parser.ParseSettings("celeryvalved.toml", data)
//	if err != nil {
//		return err // lists every fault as file:line:column
//	}
//	os.Stdout.Write(parser.FormatSettings(settings))
package parser
