package job

import (
	"strconv"
	"strings"
)

// ChunkKey names a stored chunk of a job besides the first, which is in the head.
type ChunkKey struct {
	// Size is how many tasks the chunk holds. It is 0 for a chunk of a job whose head did not
	// state the size: that one follows from the settings.
	Size int
	// Index is the chunk's position among those of its size.
	Index int
}

// chunkSizeMark separates the size of a chunk from its index in the name of its key. Versions
// that do not know sizes do not take such a name for a chunk.
const chunkSizeMark = "x"

// String is the key's last part.
func (k ChunkKey) String() string {
	if k.Size == 0 {
		return strconv.Itoa(k.Index)
	}
	return strconv.Itoa(k.Size) + chunkSizeMark + strconv.Itoa(k.Index)
}

// ParseChunkKey reads what String wrote.
func ParseChunkKey(text string) (k ChunkKey, ok bool) {
	size, index, sized := strings.Cut(text, chunkSizeMark)
	if !sized {
		index = text
	} else if n, err := strconv.Atoi(size); err != nil || n < 1 {
		return ChunkKey{}, false
	} else {
		k.Size = n
	}
	n, err := strconv.Atoi(index)
	k.Index = n
	return k, err == nil && n > 0
}
