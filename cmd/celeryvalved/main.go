// Command celeryvalved is the daemon.
package main

import _ "net" // links the C library

func main() {}
