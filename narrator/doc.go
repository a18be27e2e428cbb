// Package narrator tells the story of one request, one upstream or one version of
// a declaration from the logs of many processes, and what a whole deployment believed
// at their end.
//
// A log is a file of JSON objects, one a line, as the processes write them; what
// stands before the object on a line is passed over, so that a collector may put a
// time or a name there. A story holds the lines that name the subject, and, for a
// request, what was said of the upstreams that it met shortly before and meanwhile,
// in the order of their times.
//
// # Usage
//
//	n := narrator.New(narrator.Subject{Request: "6ec5ed6b04ad3cf1"})
//	err := n.Read("entry-1.log", file)
//	fmt.Print(n.Story().Text())
//
//	o := narrator.NewOverseer()
//	err := o.Read("entry-1.log", file)
//	fmt.Print(o.Overview().Text())
package narrator
