package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/request"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// begin is when the tests begin.
var begin = time.UnixMilli(1_800_000_000_000)

// after returns the time some milliseconds after begin.
func after(millis int64) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }

// end returns the crash of the i-th target under a prompt.
func end(i int, millis int64, own uint64, parts ...uint64) Crash {
	return Crash{Incarnation: uint64(i), At: after(millis).UnixMilli(), Lost: []Prompt{{Own: own, Parts: parts}}}
}

// answer returns an answer to a prompt with a part.
func answer(millis int64, part uint64) Answer {
	return Answer{Part: part, At: after(millis).UnixMilli()}
}

// tableOf returns a table with crashes.
func tableOf(crashes ...Crash) *Table {
	t := NewTable()
	t.Merge(&Evidence{Crashes: crashes}, after(1_000_000))
	return t
}

// The parts of the tests' prompts.
const (
	bad, common, session uint64 = 1, 2, 3
)

// TestPartOfFourCrashesIsSuspect guards against more than three requests after the
// fifth crash, and against the suspicion of parts that were answered meanwhile.
func TestPartOfFourCrashesIsSuspect(t *testing.T) {
	table := NewTable()
	for i := range 4 {
		now := after(int64(i) * 250)
		must.False(t, table.Judge(partKey(bad), now).Suspect)
		e := Evidence{Crashes: []Crash{end(i, int64(i)*250, uint64(100+i), common, bad, uint64(200+i))}}
		e.Answers = []Answer{answer(int64(i)*250+100, common)}
		table.Merge(&e, now.Add(100*time.Millisecond))
	}
	must.Eq(t, 1, len(table.Suspects(after(1000))))
	must.True(t, table.Judge(partKey(bad), after(1000)).Suspect)
}

// TestPartBehindManyOthersIsSuspect guards against a part that crashes targets and is looked at in
// none of its prompts, since many other parts come before it: the same in all prompts, which are
// answered in others, or different ones in each.
func TestPartBehindManyOthersIsSuspect(t *testing.T) {
	for _, behind := range []int{40, 100, 4000} {
		partBehindIsSuspect(t, behind)
	}
}

// partBehindIsSuspect is TestPartBehindManyOthersIsSuspect with a number of parts before the bad one.
func partBehindIsSuspect(t *testing.T, behind int) {
	for name, first := range map[string]func(i int) uint64{
		"same": func(int) uint64 { return 10_000 }, "different": func(i int) uint64 { return uint64(10_000 * (1 + i)) },
	} {
		table := NewTable()
		for i := range 4 {
			ids := make([]uint64, behind)
			var e Evidence
			for j := range ids {
				ids[j] = first(i) + uint64(j)
				if name == "same" {
					e.Answers = append(e.Answers, answer(int64(i)*250+100, ids[j]))
				}
			}
			prompt := promptOf(&request.Request{PartIDs: append(ids, bad, uint64(i))})
			e.Crashes = []Crash{end(i, int64(i)*250, prompt.Own, prompt.Parts...)}
			table.Merge(&e, after(int64(i)*250+100))
		}
		must.True(t, table.Judge(partKey(bad), after(1000)).Suspect, must.Sprint(name, behind))
		must.Eq(t, 1, len(table.Suspects(after(1000))), must.Sprint(name, behind))
	}
}

// TestPartThatWasAnsweredIsNotBlamed has no answer at all between the crashes: they
// are explained by the part that was never answered.
func TestPartThatWasAnsweredIsNotBlamed(t *testing.T) {
	table := NewTable()
	table.Merge(&Evidence{Answers: []Answer{answer(0, common)}}, after(0))
	for i := range 20 {
		table.Merge(&Evidence{Crashes: []Crash{end(i, int64(i)*300, uint64(100+i), common, bad)}}, after(10_000))
	}
	must.True(t, table.Judge(partKey(bad), after(10_000)).Suspect)
	must.False(t, table.Judge(partKey(common), after(10_000)).Suspect)
}

// TestPartAnsweredLongAgoIsNotBlamed guards against refusing sound requests since a part that they
// share with the ones that crash targets has not been answered for over a minute, say after a pause
// of its workspace. Without another part that explains the crashes it is suspect.
func TestPartAnsweredLongAgoIsNotBlamed(t *testing.T) {
	const pause = 90_000
	for name, parts := range map[string][]uint64{"explained": {common, bad}, "alone": {common}} {
		table := NewTable()
		table.Merge(&Evidence{Answers: []Answer{answer(0, common)}}, after(0))
		for i := range 5 {
			at := int64(pause + i*300)
			table.Merge(&Evidence{Crashes: []Crash{end(i, at, uint64(100+i), parts...)}}, after(at))
		}
		now := after(pause + 2000)
		must.Eq(t, name == "explained", table.Judge(partKey(bad), now).Suspect, must.Sprint(name))
		must.Eq(t, name == "alone", table.Judge(partKey(common), now).Suspect, must.Sprint(name))
	}
}

// TestPartThatTurnsBadIsSuspect has crashes under a part that was answered before.
func TestPartThatTurnsBadIsSuspect(t *testing.T) {
	table := NewTable()
	table.Merge(&Evidence{Answers: []Answer{answer(0, bad)}}, after(0))
	for i := range minCrashesAnswered {
		must.False(t, table.Judge(partKey(bad), after(10_000)).Suspect)
		table.Merge(&Evidence{Crashes: []Crash{end(i, int64(i)*300+1, uint64(100+i), bad)}}, after(10_000))
	}
	must.True(t, table.Judge(partKey(bad), after(10_000)).Suspect)
}

// TestRetriesOfOneRequestBlameNobody has one request and its retries end targets.
func TestRetriesOfOneRequestBlameNobody(t *testing.T) {
	table := tableOf(end(0, 0, 9, session, bad), end(1, 100, 9, session, bad), end(2, 200, 9, session, bad), end(3, 300, 9, session, bad))
	must.MapEmpty(t, table.Suspects(after(1000)))
	table.Merge(&Evidence{Crashes: []Crash{end(4, 400, 8, common, bad)}}, after(1000))
	must.Eq(t, 1, len(table.Suspects(after(1000))), must.Sprint("the part of two prompts alone is suspect"))
}

// TestFailureDomainBlamesNobody ends many targets simultaneously and again a second later.
// Parts that were answered in the minute before must not become suspect, and others
// only if they were at four of the targets.
func TestFailureDomainBlamesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, seen := NewTable(), make(map[uint64][]int)
		part := rapid.Uint64Range(1, rapid.SampledFrom([]uint64{10, 30}).Draw(t, "parts"))
		for answered := uint64(1); answered <= 10; answered++ {
			table.Merge(&Evidence{Answers: []Answer{answer(0, answered)}}, after(0))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "targets") {
			millis := 1 + rapid.Int64Range(0, 100).Draw(t, "offset") + 1000*int64(i%2)
			c := end(i, millis, 0)
			c.Lost = nil
			for range 4 {
				p := Prompt{Own: rapid.Uint64().Draw(t, "own"), Parts: []uint64{part.Draw(t, "first"), part.Draw(t, "second")}}
				for _, id := range p.Parts {
					seen[id] = append(seen[id], i)
				}
				c.Lost = append(c.Lost, p)
			}
			table.Merge(&Evidence{Crashes: []Crash{c}}, after(3000))
		}
		for id, verdict := range table.Suspects(after(3000)) {
			must.Greater(t, 10, id.Hash)
			must.GreaterEq(t, minCrashes, len(slices.Compact(slices.Sorted(slices.Values(seen[id.Hash])))))
			must.True(t, verdict.Suspect)
		}
	})
}

// TestSuspicionFades checks that each further crash doubles the time and that an
// answer ends it.
func TestSuspicionFades(t *testing.T) {
	var crashes []Crash
	for i := range 5 {
		crashes = append(crashes, end(i, int64(i)*1000, uint64(i), bad))
	}
	must.Eq(t, after(3000).Add(firstHold), tableOf(crashes[:4]...).Judge(partKey(bad), after(3000)).Until)
	table := tableOf(crashes...)
	must.Eq(t, after(4000).Add(2*firstHold), table.Judge(partKey(bad), after(4000)).Until)
	must.False(t, table.Judge(partKey(bad), after(4000).Add(2*firstHold)).Suspect)
	table.Merge(&Evidence{Crashes: []Crash{end(5, 130_000, 9, bad)}}, after(130_000))
	must.Eq(t, after(130_000).Add(4*firstHold), table.Judge(partKey(bad), after(130_000)).Until, must.Sprint("one crash is enough afterwards"))
	table.Merge(&Evidence{Answers: []Answer{answer(131_000, bad)}}, after(131_000))
	must.MapEmpty(t, table.Suspects(after(131_000)))
	table.Prune(after(130_000).Add(maxAge + time.Second))
	must.MapEmpty(t, table.crashes)
	must.MapEmpty(t, table.keys)
	must.Eq(t, 0, table.kept)
}

// drawEvidence returns crashes and answers of few targets and parts.
func drawEvidence(t *rapid.T) []Evidence {
	all := make([]Evidence, rapid.IntRange(1, 40).Draw(t, "messages"))
	for i := range all {
		part := rapid.Uint64Range(1, 5)
		if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
			all[i].Answers = []Answer{answer(rapid.Int64Range(0, 3000).Draw(t, "answered"), part.Draw(t, "part"))}
			continue
		}
		target := rapid.IntRange(0, 12).Draw(t, "target")
		all[i].Crashes = []Crash{end(target, rapid.Int64Range(0, 3000).Draw(t, "at"), rapid.Uint64Range(0, 3).Draw(t, "own"), part.Draw(t, "one"), part.Draw(t, "two"))}
	}
	return all
}

// TestOrderOfEvidenceDoesNotMatter merges the same evidence in two orders, once with
// every message twice.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawEvidence(t)
		one, two := NewTable(), NewTable()
		for i := range all {
			one.Merge(&all[i], after(5000))
		}
		twice := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order")
		for i := range twice {
			two.Merge(&twice[i], after(5000))
		}
		must.Eq(t, one.Suspects(after(5000)), two.Suspects(after(5000)))
	})
}

// boundedPrompts is the number of prompts under each crash in TestTableIsBounded, and boundedParts
// that of the parts of each.
const boundedPrompts, boundedParts = 32, 128

// TestTableIsBounded merges far more than is kept.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxCrashes {
		c := end(i, int64(i), 0)
		for j := range boundedPrompts {
			p := Prompt{Own: uint64(j)}
			for k := range boundedParts {
				p.Parts = append(p.Parts, uint64(i*10_000+j*100+k))
			}
			c.Lost = append(c.Lost, p)
		}
		for j := range 2 * maxLost {
			c.Requests = append(c.Requests, uint64(i*10_000+j))
		}
		table.Merge(&Evidence{Crashes: []Crash{c}, Answers: []Answer{answer(int64(i), uint64(i))}}, after(10_000))
	}
	for i := range 2 * maxAnswers {
		table.Merge(&Evidence{Answers: []Answer{answer(int64(i), uint64(i))}}, after(100_000))
	}
	must.LessEq(t, maxCrashes, len(table.crashes))
	must.LessEq(t, maxKeptKeys, table.kept)
	must.LessEq(t, maxKeptKeys, len(table.keys))
	must.LessEq(t, maxAnswers, len(table.answered))
}

// longCrash returns the end of a target under prompts with a bad part and many others.
func longCrash(i, prompts, parts int) Crash {
	c := end(i, int64(i), 0)
	c.Lost = nil
	for j := range prompts {
		p := Prompt{Own: hashOf(uint64(i*prompts + j)), Parts: []uint64{bad}}
		for k := 1; k < parts; k++ {
			p.Parts = append(p.Parts, hashOf(uint64((i*prompts+j)*parts+k)))
		}
		c.Lost = append(c.Lost, p)
	}
	for j := range maxLost {
		c.Requests = append(c.Requests, hashOf(uint64(1_000_000+i*maxLost+j)))
	}
	return c
}

// TestLongPromptsLeaveRoomForAVerdict guards against evidence on long prompts that drops the evidence
// before it, so that there is never enough for a verdict, and against evidence that no message and
// no value of the store can hold.
func TestLongPromptsLeaveRoomForAVerdict(t *testing.T) {
	for _, c := range []struct{ prompts, parts int }{{1, maxParts}, {2, maxParts}, {8, 4000}, {maxLost, 30}, {maxLost, 1}, {maxLost, 2 * maxParts}} {
		t.Run(fmt.Sprint(c.prompts, " prompts of ", c.parts), func(t *testing.T) {
			table := NewTable()
			for i := range 3 * minCrashesAnswered {
				crash := longCrash(i, min(c.prompts, 2*maxParts/c.parts+1), c.parts)
				table.Merge(&Evidence{Crashes: []Crash{crash}}, after(1000))
			}
			must.LessEq(t, maxKeptKeys, table.kept)
			must.LessEq(t, maxKeptKeys, len(table.keys))
			must.GreaterEq(t, minCrashesAnswered, len(table.crashesOf(partKey(bad))))
			must.True(t, table.Judge(partKey(bad), after(1000)).Suspect)

			told := table.EvidenceOn(table.Suspects(after(1000)))
			payload, err := peer.EncodeCompact(&told)
			must.NoError(t, err)
			must.LessEq(t, peer.MaxFrameBytes/2, len(payload))
			must.True(t, tableOf(told.Crashes...).Judge(partKey(bad), after(1000)).Suspect)

			copied := NewStoreCopy("h-1", nil, nil, nil)
			copied.Keep(&told, time.Minute)
			for i := range 2 * maxCopiedAnswers {
				copied.Add(&Evidence{Answers: []Answer{answer(int64(i), hashOf(uint64(i)))}})
			}
			copied.Add(&told)
			for _, kept := range []*Evidence{&copied.suspects.latest, &copied.unlinked.latest} {
				value, err := json.Marshal(kept)
				must.NoError(t, err)
				must.LessEq(t, external.MaxValueBytes, len(value))
				must.True(t, tableOf(kept.Crashes...).Judge(partKey(bad), after(1000)).Suspect)
			}
		})
	}
}
