// Command standin is the stand-ins of outside systems.
package main

import _ "net" // links the C library

func main() {}
