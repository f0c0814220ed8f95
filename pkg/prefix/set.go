package prefix

import "math/bits"

const (
	// wordBits is the number of bits in a word of a Set.
	wordBits = 64
	// setWords is the number of words in a Set.
	setWords = 4
	// MaxEngines is the largest number of engines in an index.
	MaxEngines = wordBits * setWords
)

// Set is a set of engine slots.
type Set [setWords]uint64

// Has reports whether the slot is in the set.
func (s *Set) Has(slot int) bool { return s[slot/wordBits]&(1<<(slot%wordBits)) != 0 }

// Add adds the slot.
func (s *Set) Add(slot int) { s[slot/wordBits] |= 1 << (slot % wordBits) }

// Remove removes the slot.
func (s *Set) Remove(slot int) { s[slot/wordBits] &^= 1 << (slot % wordBits) }

// Empty reports whether the set is empty.
func (s *Set) Empty() bool { return *s == Set{} }

// forEach calls visit with every slot, in ascending order.
func (s *Set) forEach(visit func(slot int)) {
	for i, word := range s {
		for word != 0 {
			visit(i*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}

// intersect removes the slots that are not in other, and sets their depths to
// depth.
func (s *Set) intersect(other Set, depth int32, depths []int32) {
	for i := range s {
		gone := s[i] &^ other[i]
		s[i] &= other[i]
		for gone != 0 {
			depths[i*wordBits+bits.TrailingZeros64(gone)] = depth
			gone &= gone - 1
		}
	}
}
