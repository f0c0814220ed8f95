package duty

import (
	"cmp"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/rendezvous"
)

// NotRanked is the rank of a host that is not a candidate, or whose rank is not
// below the limit of RankBelow; rank 0 is the first.
const NotRanked = -1

// scored is a candidate with its score and its rank within its failure domain.
type scored struct {
	candidate Candidate
	score     uint64
	// domainRank is how many candidates of the same failure domain score higher.
	domainRank int
}

// Score returns the rendezvous hash of a duty and a host. The host with the
// highest score ranks first within its failure domain.
func Score(d ident.Duty, host ident.Host) uint64 {
	return rendezvous.Weight(string(d), host)
}

// Rank returns the candidates by rank for a duty: first the highest score of each
// failure domain, then the second highest of each, and so on.
func Rank(d ident.Duty, candidates []Candidate) []Candidate {
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, scored{candidate: c, score: Score(d, c.Host)})
	}
	slices.SortFunc(list, byScore)
	seen := make(map[ident.FailureDomain]int)
	for i := range list {
		domain := list[i].candidate.FailureDomain
		list[i].domainRank = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.domainRank, b.domainRank) })
	ranked := make([]Candidate, 0, len(list))
	for i := range list {
		ranked = append(ranked, list[i].candidate)
	}
	return ranked
}

// RankOf returns the rank of a host for a duty, or NotRanked; rank 0 is the first.
func RankOf(d ident.Duty, candidates []Candidate, host ident.Host) int {
	return slices.IndexFunc(Rank(d, candidates), func(c Candidate) bool { return c.Host == host })
}

// RankBelow returns the rank of a host if it is below limit, else NotRanked. For
// most hosts it needs only one pass over the candidates: if n candidates of the
// host's own failure domain score higher, the host ranks after these and after the
// n highest of every other failure domain.
func RankBelow(d ident.Duty, candidates []Candidate, self Candidate, limit int) int {
	own := Score(d, self.Host)
	domainRank := 0
	sizes := make(map[ident.FailureDomain]int, limit)
	for _, c := range candidates {
		sizes[c.FailureDomain]++
		if c.FailureDomain == self.FailureDomain && Score(d, c.Host) > own {
			domainRank++
		}
	}
	before := 0
	for _, size := range sizes {
		before += min(size, domainRank)
	}
	if before >= limit {
		return NotRanked
	}
	if rank := RankOf(d, candidates, self.Host); rank < limit {
		return rank
	}
	return NotRanked
}

// byScore orders candidates by descending score and breaks ties by host.
func byScore(a, b scored) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.candidate.Host, b.candidate.Host)
}
