package blconfig

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

var (
	sizes  = []int{1_000, 10_000, 30_000, 100_000}
	shapes = []struct {
		name                     string
		minServices, maxServices int
	}{
		{"narrow", 2, 6}, // customers are split between the services
		{"broad", 10, 70},
	}
)

func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func fullSize(t testing.TB, s *Snapshot) int { return len(must[[]byte](t)(EncodeFull(s))) }

func encodeDelta(t testing.TB, d Delta) []byte { return must[[]byte](t)(EncodeDelta(d)) }

// compressedSize returns the compressed size of a message, in bytes, on a new stream between
// two daemons.
func compressedSize(t testing.TB, data []byte) float64 { return meanStreamSize(t, [][]byte{data}) }

// meanStreamSize returns the mean compressed size, in bytes, of the second half of the
// messages on one stream. It uses the window size of the daemons and flushes after
// each message as they do.
func meanStreamSize(t testing.TB, messages [][]byte) float64 {
	t.Helper()
	var out bytes.Buffer
	encoder := must[*zstd.Encoder](t)(zstd.NewWriter(&out, zstd.WithWindowSize(64<<10), zstd.WithEncoderConcurrency(1)))
	sum, half := 0, len(messages)/2
	for i, m := range messages {
		out.Reset()
		if _, err := encoder.Write(m); err != nil {
			t.Fatal(err)
		}
		if err := encoder.Flush(); err != nil {
			t.Fatal(err)
		}
		if i >= half {
			sum += out.Len()
		}
	}
	return float64(sum) / float64(len(messages)-half)
}

// BenchmarkSize reports the size of each kind of transfer, in bytes. A size covers
// the message without its JSON-RPC envelope. The last benchmark of each shape
// reports a least-squares line over the numbers of customers.
func BenchmarkSize(b *testing.B) {
	for _, sh := range shapes {
		fits := make(map[string][]float64)
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%s/%d", sh.name, n), func(b *testing.B) {
				for b.Loop() {
				}
				for unit, v := range measureSizes(b, newPopulation(sh.minServices, sh.maxServices), n) {
					b.ReportMetric(v, unit)
					fits[unit] = append(fits[unit], v)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
		b.Run(sh.name+"/fit", func(b *testing.B) {
			for b.Loop() {
			}
			for _, unit := range []string{"full-B", "tenth-B", "needed-full-B"} {
				slope, r2 := fit(sizes, fits[unit])
				b.ReportMetric(slope, unit+"/customer")
				b.ReportMetric(r2, unit+"-r2")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureSizes(b *testing.B, p *population, n int) map[string]float64 {
	base := p.build(b, 1, p.customers(n))
	var one [][]byte // consecutive changes of one customer
	s := base
	for i := range 20 {
		next := p.build(b, uint64(i+2), p.withChangedPlans(b, s, 1))
		one = append(one, encodeDelta(b, Diff(s, next)))
		s = next
	}
	tenth := p.build(b, 2, p.withChangedPlans(b, base, n/10))
	const daemons = 14
	share, neededFull, neededTenth := 0.0, 0.0, 0.0
	for range daemons {
		services := p.randomServices(neededCount)
		before, after := p.build(b, 1, customersAllowedAny(base, services)), p.build(b, 2, customersAllowedAny(tenth, services))
		share += float64(before.CustomerCount()) / float64(n) / daemons
		neededFull += float64(fullSize(b, before)) / daemons
		neededTenth += compressedSize(b, encodeDelta(b, Diff(before, after))) / daemons
	}
	stream := meanStreamSize(b, one)
	return map[string]float64{
		"one-json-B": float64(len(one[len(one)-1])), "one-stream-B": stream,
		"one-alone-B":  compressedSize(b, one[len(one)-1]),
		"tenth-json-B": float64(len(encodeDelta(b, Diff(base, tenth)))),
		"tenth-B":      compressedSize(b, encodeDelta(b, Diff(base, tenth))),
		"full-B":       float64(fullSize(b, base)),
		"needed-%":     100 * share, "needed-full-B": neededFull, "needed-tenth-B": neededTenth,
		"needed-one-B": share * stream,
	}
}

// fit returns the slope and the coefficient of determination of a least-squares line.
func fit(x []int, y []float64) (slope, r2 float64) {
	if len(y) != len(x) {
		return 0, 0
	}
	var sx, sy, sxx, sxy, syy float64
	n := float64(len(x))
	for i := range x {
		v := float64(x[i])
		sx, sy, sxx, sxy, syy = sx+v, sy+y[i], sxx+v*v, sxy+v*y[i], syy+y[i]*y[i]
	}
	covariance, variance := n*sxy-sx*sy, n*sxx-sx*sx
	return covariance / variance, covariance * covariance / (variance * (n*syy - sy*sy))
}

// BenchmarkTime reports the duration of each step of publishing a version.
func BenchmarkTime(b *testing.B) {
	for _, n := range sizes {
		p := newPopulation(shapes[0].minServices, shapes[0].maxServices)
		base := p.build(b, 1, p.customers(n))
		one := Diff(base, p.build(b, 2, p.withChangedPlans(b, base, 1)))
		changed := p.build(b, 2, p.withChangedPlans(b, base, n/10))
		tenth := Diff(base, changed)
		values := []basillift.Value{}
		for _, e := range must[[]bllist.Entry](b)(bllist.Split(base.Lists(), bllist.MaxValueBytes)) {
			values = append(values, basillift.NewValue(e.Key(), e.Data(), 1, 1))
		}
		data := must[[]byte](b)(EncodeFull(base))
		before, after := base.Lists(), p.build(b, 2, p.withChangedPlans(b, base, 1)).Lists()
		updated := must[*Snapshot](b)(base.Update(one.to, after))
		steps := []struct {
			name string
			step func()
		}{
			{"apply-one", func() { must[*Snapshot](b)(base.Apply(one)) }},
			{"apply-tenth", func() { must[*Snapshot](b)(base.Apply(tenth)) }},
			{"decode-tenth", func() { must[Delta](b)(DecodeDelta(encodeDelta(b, tenth))) }},
			{"diff", func() { Diff(base, changed) }},
			{"diff-updated", func() { Diff(base, updated) }},
			{"update-one", func() { must[*Snapshot](b)(base.Update(one.to, after)) }},
			{"assemble", func() { must[bllist.ConsistentRead](b)(bllist.Assemble(values...)) }},
			{"build", func() { must[*Snapshot](b)(Build(base.version, before)) }},
			{"encode-full", func() { must[[]byte](b)(encodeFull(base)) }},
			{"decode-full", func() { must[*Snapshot](b)(DecodeFull(data)) }},
		}
		for _, s := range steps {
			b.Run(fmt.Sprintf("%s/%d", s.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					s.step()
				}
			})
		}
	}
}

// BenchmarkPlan reports the duration of one plan lookup on the request path.
func BenchmarkPlan(b *testing.B) {
	p := newPopulation(shapes[0].minServices, shapes[0].maxServices)
	s := p.build(b, 1, p.customers(100_000))
	name := s.Lists().Customers()[50_000].Name()
	b.ReportAllocs()
	for b.Loop() {
		s.Plan(name)
	}
}
