// Package narrator reads the logs of many processes. From them it extracts the lines
// about one request, one upstream or one version of a declaration, or summarises the
// state of the whole deployment at the end of the logs.
//
// A log is a file of JSON objects, one per line, as the processes write them. Text
// before the object on a line is ignored, so that a log collector may put a time or a
// name there. A Story holds the lines that name its subject, sorted by time. The story
// of a request also holds the lines about the upstreams that the request was sent to,
// from 5 s before the first line of the request to its last.
//
// An Overview is derived from a fixed set of log messages, which are matched by their
// whole text. A change of such a message has to be made here too.
//
// # Usage
//
//	n := narrator.New(narrator.Subject{Request: "6ec5ed6b04ad3cf1"})
//	err := n.Read("entry-1.log", file)
//	fmt.Print(n.Story().Text())
//
//	o := narrator.NewSummariser()
//	err := o.Read("entry-1.log", file)
//	fmt.Print(o.Overview().Text())
package narrator
