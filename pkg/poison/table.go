package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes and maxKeptParts bound the crashes that are kept and the parts of
	// their prompts together, and maxLost the prompts of one crash. Beyond them the
	// oldest crashes are dropped.
	maxCrashes   = 512
	maxKeptParts = 32768
	maxLost      = 256
	// maxAnswers bounds the parts whose newest answer is kept.
	maxAnswers = 8192
	// maxParts bounds the parts of one prompt that are looked at.
	maxParts = 16
	// maxAge is how long a crash is kept.
	maxAge = 30 * time.Minute
)

// crash is a crash that is kept.
type crash struct {
	at   int64
	lost []Prompt
}

// Table holds the evidence of all daemons. Its verdicts depend on the evidence but
// not on the order or the number of times in which it was merged. It must not be used
// concurrently.
type Table struct {
	// crashes holds the crashes by Crash.Incarnation.
	crashes map[uint64]*crash
	// parts holds for each part the crashes under prompts with it.
	parts map[uint64][]uint64
	// kept is the number of parts of the kept crashes' prompts.
	kept int
	// answered holds the time of each part's newest answer in Unix milliseconds.
	answered map[uint64]int64
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{crashes: make(map[uint64]*crash), parts: make(map[uint64][]uint64), answered: make(map[uint64]int64)}
}

// Merge adds evidence, and returns the part of it that is new.
func (t *Table) Merge(e *Evidence, now time.Time) Evidence {
	fresh := Evidence{Relayed: e.Relayed}
	for i := range e.Answers {
		if t.mergeAnswer(e.Answers[i], now) {
			fresh.Answers = append(fresh.Answers, e.Answers[i])
		}
	}
	for i := range e.Crashes {
		if added := t.mergeCrash(&e.Crashes[i], now); len(added.Lost) > 0 {
			fresh.Crashes = append(fresh.Crashes, added)
		}
	}
	return fresh
}

// mergeAnswer records an answer and reports whether it is newer than the known one.
func (t *Table) mergeAnswer(answer Answer, now time.Time) bool {
	at := min(answer.At, now.UnixMilli())
	if at <= t.answered[answer.Part] {
		return false
	}
	if len(t.answered) >= maxAnswers {
		t.dropOldestAnswers()
	}
	t.answered[answer.Part] = at
	return true
}

// dropOldestAnswers drops half of the answers.
func (t *Table) dropOldestAnswers() {
	middle := slices.Sorted(maps.Values(t.answered))[len(t.answered)/2]
	maps.DeleteFunc(t.answered, func(_ uint64, at int64) bool { return at <= middle })
}

// mergeCrash adds a crash, and returns it with those prompts that are new.
func (t *Table) mergeCrash(c *Crash, now time.Time) Crash {
	added := Crash{Incarnation: c.Incarnation, At: min(c.At, now.UnixMilli())}
	if now.Sub(time.UnixMilli(c.At)) > maxAge {
		return added
	}
	key := c.Incarnation
	known := t.crashes[key]
	if known == nil {
		known = &crash{at: added.At}
		t.crashes[key] = known
	}
	known.at = min(known.at, added.At)
	for _, prompt := range c.Lost {
		prompt.Parts = prompt.Parts[:min(len(prompt.Parts), maxParts)]
		if len(known.lost) >= maxLost || slices.ContainsFunc(known.lost, func(p Prompt) bool { return p.equal(prompt) }) {
			continue
		}
		known.lost = append(known.lost, prompt)
		added.Lost = append(added.Lost, prompt)
		t.index(key, prompt.Parts)
	}
	for len(t.crashes) > maxCrashes || t.kept > maxKeptParts {
		t.dropOldestCrash()
	}
	return added
}

// equal reports whether two prompts are the same.
func (p *Prompt) equal(other Prompt) bool {
	return p.Own == other.Own && slices.Equal(p.Parts, other.Parts)
}

// index adds a crash to those of its parts.
func (t *Table) index(key uint64, parts []uint64) {
	t.kept += len(parts)
	for _, part := range parts {
		if !slices.Contains(t.parts[part], key) {
			t.parts[part] = append(t.parts[part], key)
		}
	}
}

// dropOldestCrash drops one crash.
func (t *Table) dropOldestCrash() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.crashes[a].at, t.crashes[b].at), cmp.Compare(a, b))
	})
	t.drop(oldest)
}

// drop removes a crash.
func (t *Table) drop(key uint64) {
	for _, prompt := range t.crashes[key].lost {
		t.kept -= len(prompt.Parts)
		for _, part := range prompt.Parts {
			t.parts[part] = slices.DeleteFunc(t.parts[part], func(k uint64) bool { return k == key })
			if len(t.parts[part]) == 0 {
				delete(t.parts, part)
			}
		}
	}
	delete(t.crashes, key)
}

// Prune drops what is too old to matter.
func (t *Table) Prune(now time.Time) {
	limit := now.Add(-maxAge).UnixMilli()
	for key, known := range t.crashes {
		if known.at < limit {
			t.drop(key)
		}
	}
	maps.DeleteFunc(t.answered, func(_ uint64, at int64) bool { return at < limit })
}
