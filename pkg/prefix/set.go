package prefix

import "math/bits"

const (
	// wordBits is the size of a word of a Set.
	wordBits = 64
	// setWords is the count of words in a Set.
	setWords = 4
	// MaxEngines is how many engines one index tells apart.
	MaxEngines = wordBits * setWords
)

// Set is a set of engine slots.
type Set [setWords]uint64

// Has reports whether the slot is in the set.
func (s *Set) Has(slot int) bool { return s[slot/wordBits]&(1<<(slot%wordBits)) != 0 }

// Add puts the slot in.
func (s *Set) Add(slot int) { s[slot/wordBits] |= 1 << (slot % wordBits) }

// Remove takes the slot out.
func (s *Set) Remove(slot int) { s[slot/wordBits] &^= 1 << (slot % wordBits) }

// Empty reports whether the set has no slot.
func (s *Set) Empty() bool { return *s == Set{} }

// each calls visit with every slot, in rising order.
func (s *Set) each(visit func(slot int)) {
	for i, word := range s {
		for word != 0 {
			visit(i*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}

// drop takes out the slots that held lacks, and writes depth for each.
func (s *Set) drop(held Set, depth int32, depths []int32) {
	for i := range s {
		gone := s[i] &^ held[i]
		s[i] &= held[i]
		for gone != 0 {
			depths[i*wordBits+bits.TrailingZeros64(gone)] = depth
			gone &= gone - 1
		}
	}
}
