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
var ErrMix = eris.New("bad mix")

// DefaultMix is mostly reads, as both companies' services see them.
const DefaultMix = "get=70,keyed=10,post=17,upload=3"

// Mix holds the share of each kind.
type Mix struct {
	shares map[Kind]float64
	total  float64
}

// ParseMix reads weights such as "get=70,keyed=10,post=17,upload=3". Kinds that
// are absent are not sent.
func ParseMix(text string) (Mix, error) {
	m := Mix{shares: map[Kind]float64{}}
	for part := range strings.SplitSeq(text, ",") {
		name, weight, _ := strings.Cut(part, "=")
		share, err := strconv.ParseFloat(weight, 64)
		if err != nil || share < 0 {
			return Mix{}, fmt.Errorf("weight of %q is %q, a number of 0 or more is allowed: %w", name, weight, ErrMix)
		}
		if !slices.Contains(Kinds(), Kind(name)) {
			return Mix{}, fmt.Errorf("kind is %q, allowed are %v: %w", name, Kinds(), ErrMix)
		}
		m.shares[Kind(name)] += share
		m.total += share
	}
	if m.total == 0 {
		return Mix{}, fmt.Errorf("all weights are 0: %w", ErrMix)
	}
	return m, nil
}

// Draw picks a kind by its share.
func (m Mix) Draw(random *rand.Rand) Kind {
	left := random.Float64() * m.total
	for _, k := range Kinds() {
		left -= m.shares[k]
		if left < 0 {
			return k
		}
	}
	return KindGet
}
