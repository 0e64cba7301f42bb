// Command basilliftlab is part of basillift.
package main

func main() {}
