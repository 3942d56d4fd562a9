package job

import (
	"strconv"
	"strings"
)

// ChunkKey identifies a chunk of a job that is stored under its own key. Chunk 0 has no key: it is
// part of the head.
type ChunkKey struct {
	// Size is the number of tasks per chunk, or 0 if the key does not contain it. In that case
	// the size was derived from the settings when the chunk was written.
	Size int
	// Index is the position of the chunk in a job divided into chunks of that size.
	Index int
}

// chunkSizeSeparator separates the chunk size from the index in a key. Earlier versions only know
// keys that consist of an index, so they do not parse a key with a size as that of a chunk.
const chunkSizeSeparator = "x"

// String returns the last part of the store key.
func (k ChunkKey) String() string {
	if k.Size == 0 {
		return strconv.Itoa(k.Index)
	}
	return strconv.Itoa(k.Size) + chunkSizeSeparator + strconv.Itoa(k.Index)
}

// ParseChunkKey parses the output of ChunkKey.String.
func ParseChunkKey(text string) (k ChunkKey, ok bool) {
	size, index, hasSize := strings.Cut(text, chunkSizeSeparator)
	if !hasSize {
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
