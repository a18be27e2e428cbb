// Command celeryvalved is the daemon.
package main

func main() {}
