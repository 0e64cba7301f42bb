package blplatform

import (
	"sync"

	"basillift.dev/basillift"
)

// maxCached bounds the cached values: both lists with all their parts, and the VM list.
const maxCached = 160

// cache holds the last value of each key with the entity tag that the platform
// gave it. A platform that supports conditional requests then sends an unchanged
// value as 304 without its body, which is most of a reader's traffic.
type cache struct {
	mutex  sync.Mutex
	values map[string]cached
}

type cached struct {
	tag  string
	data []byte
}

func newCache() *cache { return &cache{values: map[string]cached{}} }

// last returns the last value of a key, with an empty tag if there is none.
func (c *cache) last(key string) cached {
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
	if known || len(c.values) < maxCached {
		c.values[v.Key()] = cached{tag: tag, data: v.Data()}
	}
}
