package job

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// Set is a set of small integers that is written as ranges ("0-5,8").
type Set struct {
	words []uint64
	count int
}

// Has tells whether i is in the set.
func (s *Set) Has(i int) bool {
	return i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i into the set.
func (s *Set) Add(i int) {
	for len(s.words) <= i/64 {
		s.words = append(s.words, 0)
	}
	if !s.Has(i) {
		s.words[i/64] |= 1 << (i % 64)
		s.count++
	}
}

// Remove takes i out of the set.
func (s *Set) Remove(i int) {
	if s.Has(i) {
		s.words[i/64] &^= 1 << (i % 64)
		s.count--
	}
}

// Len is the number of members.
func (s *Set) Len() int { return s.count }

// Format writes the members from lo up to hi as ranges relative to lo.
func (s *Set) Format(lo, hi int) string {
	var b strings.Builder
	for i := lo; i < hi; i++ {
		if !s.Has(i) {
			i = s.skipGap(i)
			if i >= hi {
				break
			}
		}
		j := i
		for j+1 < hi && s.Has(j+1) {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i - lo))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(j - lo))
		}
		i = j
	}
	return b.String()
}

// skipGap finds the first member at or after i, or a number past all members.
func (s *Set) skipGap(i int) int {
	for w := i / 64; w < len(s.words); w++ {
		word := s.words[w]
		if w == i/64 {
			word &= ^uint64(0) << (i % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return len(s.words)*64 + 1<<30
}

// Parse adds the ranges of text, shifted by lo, up to hi.
func (s *Set) Parse(text string, lo, hi int) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		a, err := strconv.Atoi(first)
		if err != nil {
			return fmt.Errorf("bad range %q", part)
		}
		b := a
		if isRange {
			if b, err = strconv.Atoi(last); err != nil {
				return fmt.Errorf("bad range %q", part)
			}
		}
		if a < 0 || b < a || lo+b >= hi {
			return fmt.Errorf("range %q is out of bounds", part)
		}
		for i := a; i <= b; i++ {
			s.Add(lo + i)
		}
	}
	return nil
}
