package poison

import (
	"slices"
	"time"
)

// requestCrashes is the number of crashes since its newest answer that make a request
// suspect.
const requestCrashes = 3

// judgeRequest returns the verdict on a request. One that only shared its targets with
// requests or parts that ended more of them is not suspect.
func (t *Table) judgeRequest(key Key) Verdict {
	if len(t.keys[key]) < requestCrashes {
		return Verdict{}
	}
	crashes := t.crashesOf(key)
	count := t.countOwn(crashes)
	if count < requestCrashes {
		return Verdict{Crashes: count}
	}
	own := slices.ContainsFunc(crashes, func(c *crash) bool { return !t.explainedByOther(c, key, len(crashes)) })
	return Verdict{Suspect: own, Crashes: count, Newest: crashes[len(crashes)-1].at}
}

// nearlySuspect reports whether one more crash may make a request suspect.
func (t *Table) nearlySuspect(key Key) bool {
	return len(t.keys[key]) >= requestCrashes-1 && t.countOwn(t.crashesOf(key)) >= requestCrashes-1
}

// countOwn counts crashes under a request, which are sorted by time. Of those within one
// momentLength it counts at most maxPerMoment if most of the targets that ended at that
// time ended without the request: a failure domain that goes ends the targets of a sound
// request's retries too.
func (t *Table) countOwn(crashes []*crash) int {
	count := 0
	for len(crashes) > 0 {
		began := crashes[0].at
		inMoment := slices.IndexFunc(crashes, func(c *crash) bool { return c.at-began >= momentLength.Milliseconds() })
		if inMoment < 0 {
			inMoment = len(crashes)
		}
		crashes = crashes[inMoment:]
		if 2*inMoment < t.endedAround(began) {
			inMoment = min(inMoment, maxPerMoment)
		}
		count += inMoment
	}
	return count
}

// endedAround counts the targets that ended less than momentLength before or after a time.
func (t *Table) endedAround(at int64) int {
	count := 0
	for _, known := range t.crashes {
		if time.Duration(max(known.at-at, at-known.at))*time.Millisecond < momentLength {
			count++
		}
	}
	return count
}

// explainedByOther reports whether a crash under a request with a number of crashes is
// explained by another request lost there that has more, or by a part that has enough to
// be suspect.
func (t *Table) explainedByOther(c *crash, key Key, crashes int) bool {
	for _, fingerprint := range c.requests {
		other := requestKey(fingerprint)
		if other == key || len(t.keys[other]) <= crashes {
			continue
		}
		if found := t.crashesOf(other); len(found) > crashes && t.countOwn(found) >= requestCrashes {
			return true
		}
	}
	return t.explainedByPart(c, crashes)
}

// explainedByPart reports whether a part that has enough crashes to be suspect, more than a
// request's number of them, explains the crash.
func (t *Table) explainedByPart(c *crash, crashes int) bool {
	for _, prompt := range c.lost {
		for _, hash := range prompt.Parts {
			part := partKey(hash)
			if len(t.keys[part]) <= max(crashes, minCrashes-1) {
				continue
			}
			found := t.crashesOf(part)
			if len(found) > max(crashes, minCrashes-1) && t.standingOf(part, found) < answeredLately && countPrompts(found, part) >= minPrompts {
				return true
			}
		}
	}
	return false
}

// underOneRequest reports whether one request was lost at each of some crashes. It then
// explains them rather than a part of the prompts lost there.
func (t *Table) underOneRequest(crashes []*crash) bool {
	return len(crashes) > 0 && slices.ContainsFunc(crashes[0].requests, func(fingerprint uint64) bool {
		return !slices.ContainsFunc(crashes, func(c *crash) bool { return !slices.Contains(c.requests, fingerprint) })
	})
}
