// Package versioner tells the version and build of a program.
//
// # Usage
//
//	fmt.Println(versioner.Text("celeryvalved"))
package versioner
