package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes that make a part suspect to whose prompts
	// there was no answer. minCrashesAnswered applies to one with an answer at most
	// answeredFor before the first crash after it; only the crashes after it count.
	minCrashes         = 4
	minCrashesAnswered = 8
	answeredFor        = time.Minute
	// minPrompts is the number of different prompts that must have crashed targets,
	// since one request and its retries crash several.
	minPrompts = 2
	// momentLength is the time within which crashes under a part that was answered
	// before probably have another cause, such as a failure of a rack or a switch; at
	// most maxPerMoment of them count.
	momentLength = 150 * time.Millisecond
	maxPerMoment = 2
	// firstHold is how long a part is suspect after its last crash. Each crash beyond
	// the least number doubles it, up to maxAge.
	firstHold = time.Minute
)

// Verdict is what the evidence shows of one key.
type Verdict struct {
	// Suspect is whether requests with the key must not be sent. Until is when the
	// suspicion of a part ends if no new evidence comes; that of a request lasts.
	Suspect bool
	Until   time.Time
	// Crashes is the number of crashes that count.
	Crashes int
	// Newest is when the last crash under a suspect request was noticed, in Unix
	// milliseconds.
	Newest int64
}

// Judge returns the verdict on a key.
func (t *Table) Judge(key Key, now time.Time) Verdict {
	if key.Kind == RequestKind {
		return t.judgeRequest(key)
	}
	return t.judgePart(key, now)
}

// judgePart returns the verdict on a part.
func (t *Table) judgePart(part Key, now time.Time) Verdict {
	if len(t.keys[part]) < minCrashes {
		return Verdict{}
	}
	counted, threshold := t.crashesOf(part), minCrashes
	if len(counted) < minCrashes || t.underOneRequest(counted) {
		return Verdict{Crashes: len(counted)}
	}
	standing := t.standingOf(part, counted)
	if standing > neverAnswered {
		counted = slices.DeleteFunc(counted, func(c *crash) bool { return t.worstStanding(c) < standing })
	}
	count := len(counted)
	if standing == answeredLately {
		count, threshold = countMoments(counted), minCrashesAnswered
	}
	if count < threshold || countPrompts(counted, part) < minPrompts {
		return Verdict{Crashes: count}
	}
	hold := min(firstHold<<min(count-threshold, maxDoublings), maxAge)
	until := time.UnixMilli(counted[len(counted)-1].at).Add(hold)
	return Verdict{Suspect: until.After(now), Until: until, Crashes: count}
}

// maxDoublings bounds the shift that doubles the hold; maxAge bounds the hold itself.
const maxDoublings = 10

// crashesOf returns the crashes under a key since its newest answer, sorted by time.
func (t *Table) crashesOf(key Key) []*crash {
	var found []*crash
	answered := t.answered[key]
	for _, incarnation := range t.keys[key] {
		if known := t.crashes[incarnation]; known.at > answered {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return found
}

// standing is how an answer before a part's crashes speaks for the part.
type standing int

// The standings, from the worst to the best.
const (
	neverAnswered standing = iota
	// answeredOnce is an answer more than answeredFor before the first crash.
	answeredOnce
	answeredLately
)

// standingOf returns the standing of a part with crashes, which are sorted by time.
func (t *Table) standingOf(part Key, crashes []*crash) standing {
	at, ok := t.answered[part]
	switch {
	case !ok || len(crashes) == 0:
		return neverAnswered
	case crashes[0].at-at <= answeredFor.Milliseconds():
		return answeredLately
	}
	return answeredOnce
}

// worstStanding returns the worst standing of the parts of a crash's prompts, of those with enough
// crashes and prompts to be suspect. A part of a better standing is explained by them.
func (t *Table) worstStanding(c *crash) standing {
	if c.worstRevision == t.revision {
		return c.worst
	}
	c.worst, c.worstRevision = answeredLately, t.revision
	for _, prompt := range c.lost {
		for _, hash := range prompt.Parts {
			part := partKey(hash)
			if len(t.keys[part]) < minCrashes {
				continue
			}
			crashes := t.crashesOf(part)
			if standing := t.standingOf(part, crashes); standing < c.worst && len(crashes) >= minCrashes && countPrompts(crashes, part) >= minPrompts {
				c.worst = standing
			}
			if c.worst == neverAnswered {
				return c.worst
			}
		}
	}
	return c.worst
}

// countMoments counts crashes, which are sorted by time. Of those within one
// momentLength it counts at most maxPerMoment.
func countMoments(crashes []*crash) int {
	count, inMoment, began := 0, 0, int64(0)
	for _, c := range crashes {
		if inMoment == 0 || c.at-began >= momentLength.Milliseconds() {
			inMoment, began = 0, c.at
		}
		if inMoment++; inMoment <= maxPerMoment {
			count++
		}
	}
	return count
}

// countPrompts counts the different prompts with a part under which targets crashed,
// up to minPrompts.
func countPrompts(crashes []*crash, part Key) int {
	own := make([]uint64, 0, minPrompts)
	for _, c := range crashes {
		for _, prompt := range c.lost {
			if !prompt.has(part.Hash) || slices.Contains(own, prompt.Own) {
				continue
			}
			if own = append(own, prompt.Own); len(own) == minPrompts {
				return len(own)
			}
		}
	}
	return len(own)
}

// Suspects returns the keys that are suspect.
func (t *Table) Suspects(now time.Time) map[Key]Verdict {
	suspects := make(map[Key]Verdict)
	for key := range t.keys {
		if verdict := t.Judge(key, now); verdict.Suspect {
			suspects[key] = verdict
		}
	}
	return suspects
}

// maxRequestCrashes bounds the crashes in EvidenceOn of which requests are named, maxCrashRequests
// the requests of each, and maxSentHashes all hashes, which fit into one message.
const (
	maxRequestCrashes = 32
	maxCrashRequests  = 16
	maxSentHashes     = minCrashesAnswered * maxCrashHashes
)

// EvidenceOn returns the evidence on suspect parts, and the newest on requests, suspect
// or not, for a daemon that lacks it.
func (t *Table) EvidenceOn(suspects map[Key]Verdict) Evidence {
	var e Evidence
	newest := t.newestUnderRequests(maxRequestCrashes)
	for incarnation, known := range t.crashes {
		found := Crash{Incarnation: incarnation, At: known.at}
		for _, prompt := range known.lost {
			if slices.ContainsFunc(prompt.Parts, func(part uint64) bool { return suspects[partKey(part)].Suspect }) {
				found.Lost = append(found.Lost, prompt)
			}
		}
		if newest[incarnation] {
			found.Requests = t.mostCrashes(known.requests)
		}
		if len(found.Lost)+len(found.Requests) > 0 {
			e.Crashes = append(e.Crashes, found)
		}
	}
	e.Crashes = newestCrashes(e.Crashes, maxCrashes, maxSentHashes)
	return e
}

// mostCrashes returns the requests that were lost at most crashes, up to maxCrashRequests.
func (t *Table) mostCrashes(requests []uint64) []uint64 {
	sorted := slices.Clone(requests)
	slices.SortFunc(sorted, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(t.keys[requestKey(b)]), len(t.keys[requestKey(a)])), cmp.Compare(a, b))
	})
	return sorted[:min(len(sorted), maxCrashRequests)]
}

// newestUnderRequests returns the newest crashes under requests.
func (t *Table) newestUnderRequests(count int) map[uint64]bool {
	all := make([]uint64, 0, len(t.crashes))
	for incarnation, known := range t.crashes {
		if len(known.requests) > 0 {
			all = append(all, incarnation)
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(t.crashes[b].at, t.crashes[a].at) })
	newest := make(map[uint64]bool)
	for _, incarnation := range all[:min(count, len(all))] {
		newest[incarnation] = true
	}
	return newest
}
