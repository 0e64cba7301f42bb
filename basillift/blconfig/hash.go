package blconfig

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

// The hash of an entry covers its kind and its fields, each followed by a zero
// byte. No name may contain a zero byte, so different entries never produce the
// same input to the hash.

func hashStrings(kind string, parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, kind)
	for _, t := range parts {
		writeString(&d, t)
	}
	return d.Sum64()
}

func hashCustomer(name, plan string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, "customer")
	writeString(&d, name)
	writeString(&d, plan)
	return d.Sum64()
}

func hashService(name string) uint64 { return hashStrings("service", name) }

func hashPlan(p basillift.Plan) uint64 {
	fields := []string{p.Name(), strconv.Itoa(p.Rate()), strconv.Itoa(p.Concurrency()), string(p.Class())}
	return hashStrings("plan", append(fields, p.Services()...)...)
}

// writeString ignores the errors because writing to an xxhash digest never fails.
func writeString(d *xxhash.Digest, text string) {
	_, _ = d.WriteString(text)
	_, _ = d.Write([]byte{0})
}

func shardOf(customer string) int { return int(xxhash.Sum64String(customer) % shardCount) }
