package labload

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMix means that the text of a mix is malformed.
var ErrMix = eris.New("invalid mix")

// DefaultMix consists mostly of reads, like the calls to the services of both
// demo companies, bindery and ponds.
const DefaultMix = "get=70,keyed=10,post=17,upload=3"

// Mix holds the weight of each kind.
type Mix struct {
	weights     map[Kind]float64
	totalWeight float64
}

// ParseMix parses weights such as "get=70,keyed=10,post=17,upload=3". A missing
// kind has weight 0.
func ParseMix(mix string) (Mix, error) {
	m := Mix{weights: map[Kind]float64{}}
	for part := range strings.SplitSeq(mix, ",") {
		name, text, _ := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 {
			return Mix{}, fmt.Errorf("weight of %q is %q, must be a number of 0 or more: %w", name, text, ErrMix)
		}
		if !slices.Contains(Kinds(), Kind(name)) {
			return Mix{}, fmt.Errorf("kind is %q, must be one of %v: %w", name, Kinds(), ErrMix)
		}
		m.weights[Kind(name)] += weight
		m.totalWeight += weight
	}
	if m.totalWeight == 0 {
		return Mix{}, fmt.Errorf("all weights are 0: %w", ErrMix)
	}
	return m, nil
}

// Draw returns a random kind, distributed by the weights.
func (m Mix) Draw(random *rand.Rand) Kind {
	remaining := random.Float64() * m.totalWeight
	for _, k := range Kinds() {
		remaining -= m.weights[k]
		if remaining < 0 {
			return k
		}
	}
	return KindGet
}
