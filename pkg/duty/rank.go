package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// NotRanked is the rank of a host that is no candidate.
const NotRanked = -1

// scored is a candidate with its place within its failure domain.
type scored struct {
	candidate Candidate
	score     uint64
	// round counts the better candidates of the same failure domain.
	round int
}

// Score returns the weight of a host for a duty; the highest comes first.
func Score(d ident.Duty, host ident.Host) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A Digest takes every write.
	_, _ = digest.WriteString(string(d))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

// Rank returns the candidates in the order in which they take a duty: the best
// of each failure domain first, then the second best of each, and so on.
func Rank(d ident.Duty, candidates []Candidate) []Candidate {
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, scored{candidate: c, score: Score(d, c.Host)})
	}
	slices.SortFunc(list, byScore)
	rounds := make(map[ident.FailureDomain]int)
	for i := range list {
		domain := list[i].candidate.FailureDomain
		list[i].round = rounds[domain]
		rounds[domain]++
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.round, b.round) })
	ranked := make([]Candidate, 0, len(list))
	for i := range list {
		ranked = append(ranked, list[i].candidate)
	}
	return ranked
}

// Place returns the rank of a host for a duty, counted from zero, or NotRanked.
func Place(d ident.Duty, candidates []Candidate, host ident.Host) int {
	return slices.IndexFunc(Rank(d, candidates), func(c Candidate) bool { return c.Host == host })
}

// PlaceWithin returns the rank of a host where it is below limit, else
// NotRanked. It takes one pass over the candidates for most hosts, since a host
// comes after as many candidates of each failure domain as precede it in its
// own.
func PlaceWithin(d ident.Duty, candidates []Candidate, self Candidate, limit int) int {
	own := Score(d, self.Host)
	round := 0
	sizes := make(map[ident.FailureDomain]int, limit)
	for _, c := range candidates {
		sizes[c.FailureDomain]++
		if c.FailureDomain == self.FailureDomain && Score(d, c.Host) > own {
			round++
		}
	}
	before := 0
	for _, size := range sizes {
		before += min(size, round)
	}
	if before >= limit {
		return NotRanked
	}
	if place := Place(d, candidates, self.Host); place < limit {
		return place
	}
	return NotRanked
}

// byScore orders candidates by falling score, and by host where scores tie.
func byScore(a, b scored) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.candidate.Host, b.candidate.Host)
}
