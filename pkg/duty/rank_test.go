package duty_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// drawCandidates draws hosts in up to eight failure domains.
func drawCandidates(t *rapid.T) []duty.Candidate {
	domains := rapid.IntRange(1, 8).Draw(t, "domains")
	hosts := rapid.IntRange(1, 60).Draw(t, "hosts")
	var candidates []duty.Candidate
	for i := range hosts {
		domain := rapid.IntRange(0, domains-1).Draw(t, "domain")
		candidates = append(candidates, duty.Candidate{
			Host:          ident.Host(fmt.Sprintf("host-%d", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", domain)),
		})
	}
	return candidates
}

func TestRankSpreadsDomainsAndIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		d := ident.Duty(rapid.StringN(1, 12, -1).Draw(t, "duty"))
		ranked := duty.Rank(d, candidates)
		must.SliceLen(t, len(candidates), ranked)
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		must.Eq(t, ranked, duty.Rank(d, shuffled))
		present := make(map[ident.FailureDomain]bool)
		for _, c := range candidates {
			present[c.FailureDomain] = true
		}
		first := make(map[ident.FailureDomain]bool)
		for _, c := range ranked[:len(present)] {
			first[c.FailureDomain] = true
		}
		must.Eq(t, len(present), len(first))
	})
}

func TestLossMovesOnlyTheLostHostsDuties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		lost := rapid.IntRange(0, len(candidates)-1).Draw(t, "lost")
		remaining := slices.Delete(slices.Clone(candidates), lost, lost+1)
		for i := range 30 {
			d := ident.Duty(fmt.Sprintf("duty-%d", i))
			before := duty.Rank(d, candidates)[0]
			if before.Host == candidates[lost].Host || len(remaining) == 0 {
				continue
			}
			must.Eq(t, before, duty.Rank(d, remaining)[0])
		}
	})
}

func TestRankBelowAgreesWithRankOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		for _, c := range candidates {
			want := duty.RankOf("duty", candidates, c.Host)
			if want >= limit {
				want = duty.NotRanked
			}
			must.Eq(t, want, duty.RankBelow("duty", candidates, c, limit))
		}
	})
}

// BenchmarkRankBelow ranks hosts for one duty at the design size of 330 hosts.
func BenchmarkRankBelow(b *testing.B) {
	var candidates []duty.Candidate
	for i := range 330 {
		candidates = append(candidates, duty.Candidate{
			Host:          ident.Host(fmt.Sprintf("host-%d", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%8)),
		})
	}
	for i := 0; b.Loop(); i++ {
		duty.RankBelow("engines/counting", candidates, candidates[i%len(candidates)], 3)
	}
}
