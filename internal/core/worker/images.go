package worker

import "time"

// imageCache holds the images that a machine has or fetches. A machine keeps the most
// recently used ones up to the size of its cache.
type imageCache struct{ images map[string]image }

type image struct {
	usedAt time.Duration
	sizeGB float64
}

// use notes the use of an image, which makes the machine drop those used longest ago.
func (c *imageCache) use(name string, sizeGB, cacheGB float64, now time.Duration) {
	if c.images == nil {
		c.images = map[string]image{}
	}
	_, cached := c.images[name]
	c.images[name] = image{usedAt: now, sizeGB: sizeGB}
	for !cached {
		oldest := c.oldest(name)
		if c.totalGB() <= cacheGB || oldest == name {
			return
		}
		delete(c.images, oldest)
	}
}

func (c *imageCache) totalGB() float64 {
	sum := 0.0
	for _, cached := range c.images {
		sum += cached.sizeGB
	}
	return sum
}

// oldest names the image that was used longest ago, name unless another is older.
func (c *imageCache) oldest(name string) string {
	for other, cached := range c.images {
		if cached.usedAt < c.images[name].usedAt {
			name = other
		}
	}
	return name
}

// UseImage notes that a task with this image is on the machine.
func (m *Machine) UseImage(name string, sizeGB, cacheGB float64, now time.Duration) {
	m.images.use(name, sizeGB, cacheGB, now)
}

// HasImage tells whether the machine has or fetches an image.
func (m *Machine) HasImage(name string) bool {
	_, ok := m.images.images[name]
	return ok
}
