// Command basilliftd is part of basillift.
package main

func main() {}
