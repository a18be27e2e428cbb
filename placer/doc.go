// Package placer assembles and runs one process where a platform (package platform)
// has placed it. The process is either an entry, which takes callers' requests for
// the declared routes and has a control replica and a mirror if there is a disk, or
// an agent beside an engine.
//
// Package placer only connects other packages; these make the decisions. The
// platform's own terms are defined in package platform, and the other packages are
// given what they stand for.
//
// # Usage
//
//	read := func() (parser.Placement, error) {
//		return platform.ReadPlacement(os.Getenv(platform.SettingsVariable))
//	}
//	placement, err := read()
//	err = placer.Run(placer.Options{Keys: "target/keys", Reload: read}, placement, os.Stdout)
package placer
