// Package parser reads the project's TOML files strictly and tells every fault
// of a file at once, each with its line, its path and its remedy.
//
// Decode and DecodeInto read any struct whose exported fields are the keys of the
// file. A key that no field has, a value of another type, a number without
// its unit and an address that is not an IP number are faults. Decoding goes on
// after a fault, so that one reading shows all of them. A Document keeps where
// each path stands, so that a check that runs later, on the decoded value, can
// give positions too.
//
// Three types of text are read besides those that read themselves: durations
// ("2s"), rates ("20Mbit/s", "5MB/s") and sizes ("512MiB").
//
// Settings is the file of the daemon, celeryvalved.
//
// # Usage
//
//	settings, err := parser.ParseSettings("celeryvalved.toml", data)
//	if err != nil {
//		return err // lists every fault as file:line:column
//	}
//	os.Stdout.Write(parser.Print(settings))
package parser
