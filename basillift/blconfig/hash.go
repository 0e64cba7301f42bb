package blconfig

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

// Each entry is hashed with the kind of the entry and a zero byte after each
// text, which no name may contain, so that two different entries never give the
// same bytes.

func hashTexts(kind string, texts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	write(&d, kind)
	for _, t := range texts {
		write(&d, t)
	}
	return d.Sum64()
}

func hashCustomer(name, plan string) uint64 {
	var d xxhash.Digest
	d.Reset()
	write(&d, "customer")
	write(&d, name)
	write(&d, plan)
	return d.Sum64()
}

func hashService(name string) uint64 { return hashTexts("service", name) }

func hashPlan(p basillift.Plan) uint64 {
	texts := []string{p.Name(), strconv.Itoa(p.Rate()), strconv.Itoa(p.Concurrency()), string(p.Class())}
	return hashTexts("plan", append(texts, p.Services()...)...)
}

// write never fails: a hash takes any bytes.
func write(d *xxhash.Digest, text string) {
	_, _ = d.WriteString(text)
	_, _ = d.Write([]byte{0})
}

func shardOf(customer string) int { return int(xxhash.Sum64String(customer) % shardCount) }
