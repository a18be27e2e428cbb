// Package placer ties the parts of one process together where a platform places
// it: an entry that takes callers' requests for declared routes, with a control
// replica where there is a disk, or an agent beside an engine.
//
// It holds no decision beyond that. The platform's names are those of package
// platform; the parts are told what they mean.
//
// # Usage
//
//	placement, err := platform.ReadPlacement(os.Getenv(platform.SettingsVariable))
//	err = placer.Run(placer.Options{Keys: "target/keys"}, placement, os.Stdout)
package placer
