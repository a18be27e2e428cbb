// Package versioner provides the release and the build information of a program, for its
// version output.
//
// # Usage
//
//	fmt.Println(versioner.Text("celeryvalved"))
package versioner
