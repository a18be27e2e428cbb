// Command celeryvalve is the operators' client.
package main

func main() {}
