// Command basilliftctl is part of basillift.
package main

func main() {}
