package worker

import "time"

// imageCache models the images that a machine has or is fetching. The machine keeps the
// most recently used ones up to the size of its cache.
type imageCache struct{ images map[string]cachedImage }

// cachedImage is an image in the cache of a machine.
type cachedImage struct {
	usedAt time.Duration
	sizeGB float64
}

// use records the use of an image. If the image is new, the least recently used ones are evicted
// until the rest fits into the cache.
func (c *imageCache) use(name string, sizeGB, cacheGB float64, now time.Duration) {
	if c.images == nil {
		c.images = map[string]cachedImage{}
	}
	_, cached := c.images[name]
	c.images[name] = cachedImage{usedAt: now, sizeGB: sizeGB}
	for !cached {
		leastRecentlyUsed := c.leastRecentlyUsed(name)
		if c.totalGB() <= cacheGB || leastRecentlyUsed == name {
			return
		}
		delete(c.images, leastRecentlyUsed)
	}
}

// totalGB returns the total size of the images.
func (c *imageCache) totalGB() float64 {
	sum := 0.0
	for _, cached := range c.images {
		sum += cached.sizeGB
	}
	return sum
}

// leastRecentlyUsed returns the image that was used longest ago, or name if no other image was
// used before it.
func (c *imageCache) leastRecentlyUsed(name string) string {
	for other, cached := range c.images {
		if cached.usedAt < c.images[name].usedAt {
			name = other
		}
	}
	return name
}

// UseImage records that a task with this image is on the machine.
func (m *Machine) UseImage(name string, sizeGB, cacheGB float64, now time.Duration) {
	m.images.use(name, sizeGB, cacheGB, now)
}

// HasImage reports whether the machine has an image or is fetching it.
func (m *Machine) HasImage(name string) bool {
	_, ok := m.images.images[name]
	return ok
}
