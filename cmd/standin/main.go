// Command standin is the stand-ins of outside systems.
package main

func main() {}
