// Command celeryvalve is the operators' client.
package main

import _ "net" // links the C library

func main() {}
