package blplatform

import (
	"sync"

	"basillift.dev/basillift"
)

// maxCachedValues is the maximum number of cached values. It leaves room for both
// lists with all their parts, and for the VM list.
const maxCachedValues = 160

// cache holds the last value of each key and its entity tag (ETag). A platform that
// supports conditional requests answers 304 without a body for an unchanged value.
// Bodies of unchanged values would otherwise be most of a reader's traffic.
type cache struct {
	mutex  sync.Mutex
	values map[string]cachedValue
}

type cachedValue struct {
	tag  string
	data []byte
}

func newCache() *cache { return &cache{values: map[string]cachedValue{}} }

// get returns the cached value of a key. Its tag is empty if there is none.
func (c *cache) get(key string) cachedValue {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.values[key]
}

func (c *cache) put(v basillift.Value, tag string) {
	if tag == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, known := c.values[v.Key()]
	if known || len(c.values) < maxCachedValues {
		c.values[v.Key()] = cachedValue{tag: tag, data: v.Data()}
	}
}
