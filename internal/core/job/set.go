package job

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"strconv"
	"strings"
)

// wordBits is the number of bits in a word of a Set.
const wordBits = 64

// Set is a bitmap of small non-negative integers. Its text form is a list of ranges ("0-5,8").
type Set struct {
	words []uint64
	count int
}

// errOutOfBounds reports a range that is reversed or extends past the allowed bounds.
var errOutOfBounds = errors.New("out of bounds")

// RangeError reports a stored range that can't be parsed.
type RangeError struct {
	Text string
	Err  error
}

// Error returns the range and the reason why it is invalid.
func (e *RangeError) Error() string { return fmt.Sprintf("range %q: %v", e.Text, e.Err) }

// Unwrap returns the reason why the range is invalid.
func (e *RangeError) Unwrap() error { return e.Err }

// Has reports whether i is in the set.
func (s *Set) Has(i int) bool {
	return i/wordBits < len(s.words) && s.words[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Add adds i to the set.
func (s *Set) Add(i int) {
	for len(s.words) <= i/wordBits {
		s.words = append(s.words, 0)
	}
	if !s.Has(i) {
		s.words[i/wordBits] |= 1 << (i % wordBits)
		s.count++
	}
}

// Remove removes i from the set.
func (s *Set) Remove(i int) {
	if s.Has(i) {
		s.words[i/wordBits] &^= 1 << (i % wordBits)
		s.count--
	}
}

// Len returns the number of members.
func (s *Set) Len() int { return s.count }

// Format returns the members in [lo, hi) as ranges relative to lo.
func (s *Set) Format(lo, hi int) string {
	var text strings.Builder
	for first := s.next(lo); first < hi; {
		last := first
		for last+1 < hi && s.Has(last+1) {
			last++
		}
		if text.Len() > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(first - lo))
		if last > first {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(last - lo))
		}
		first = s.next(last + 1)
	}
	return text.String()
}

// next returns the first member at or after i, or math.MaxInt if there is none.
func (s *Set) next(i int) int {
	for w := i / wordBits; w < len(s.words); w++ {
		word := s.words[w]
		if w == i/wordBits {
			word &= ^uint64(0) << (i % wordBits)
		}
		if word != 0 {
			return w*wordBits + bits.TrailingZeros64(word)
		}
	}
	return math.MaxInt
}

// Parse adds the ranges of text, which are relative to lo. It fails if a range is malformed or extends
// to hi or beyond.
func (s *Set) Parse(text string, lo, hi int) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, err := parseRange(part, hi-lo)
		if err != nil {
			return &RangeError{Text: part, Err: err}
		}
		for i := first; i <= last; i++ {
			s.Add(lo + i)
		}
	}
	return nil
}

// parseRange parses a single number or a range whose members are below limit.
func parseRange(text string, limit int) (first, last int, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if first, err = strconv.Atoi(from); err != nil {
		return 0, 0, err
	}
	last = first
	if isRange {
		if last, err = strconv.Atoi(to); err != nil {
			return 0, 0, err
		}
	}
	if first < 0 || last < first || last >= limit {
		return 0, 0, errOutOfBounds
	}
	return first, last, nil
}
