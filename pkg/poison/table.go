package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// maxCrashes and maxKeptKeys bound the crashes that are kept and the parts of
	// their prompts and their requests together. Beyond them the oldest crashes are dropped.
	// There is room for as many as a verdict needs, whatever their prompts are.
	maxCrashes  = 512
	maxKeptKeys = minCrashesAnswered * (maxParts + maxLost)
	// maxLost bounds the prompts and the requests of one crash, maxParts the parts of all its
	// prompts together, and maxCrashHashes all hashes that describe it.
	maxLost        = 256
	maxParts       = request.MaxParts
	maxCrashHashes = maxParts + 2*maxLost
	// maxAnswers bounds the keys whose newest answer is kept.
	maxAnswers = 32768
	// maxAge is how long a crash is kept.
	maxAge = 30 * time.Minute
)

// crash is a crash that is kept.
type crash struct {
	at int64
	// lost are the prompts, their parts sorted. parts is the number of all parts.
	lost     []Prompt
	parts    int
	requests []uint64
	// own is set if this daemon noticed the crash.
	own bool
	// worst is the worst standing of the parts that may explain the crash, as of a revision of
	// the table.
	worst         standing
	worstRevision uint64
}

// Table holds the evidence of all daemons. Its verdicts depend on the evidence but
// not on the order or the number of times in which it was merged. It must not be used
// concurrently.
type Table struct {
	// crashes holds the crashes by Crash.Incarnation.
	crashes map[uint64]*crash
	// keys holds for each key the crashes under requests with it.
	keys map[Key][]uint64
	// kept is the number of keys of the kept crashes, and requests that of the
	// different requests among them.
	kept, requests int
	// answered holds the time of each key's newest answer in Unix milliseconds.
	answered map[Key]int64
	// revision rises with each change.
	revision uint64
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{crashes: make(map[uint64]*crash), keys: make(map[Key][]uint64), answered: make(map[Key]int64)}
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
		if added := t.mergeCrash(&e.Crashes[i], now); len(added.Lost)+len(added.Requests) > 0 {
			fresh.Crashes = append(fresh.Crashes, added)
		}
	}
	return fresh
}

// markOwn marks crashes as noticed by this daemon.
func (t *Table) markOwn(crashes []Crash) {
	for _, c := range crashes {
		if known := t.crashes[c.Incarnation]; known != nil {
			known.own = true
		}
	}
}

// mergeAnswer records an answer and reports whether it is newer than the known one.
func (t *Table) mergeAnswer(answer Answer, now time.Time) bool {
	at := min(answer.At, now.UnixMilli())
	if answer.Kind >= kinds || at <= t.answered[answer.key()] {
		return false
	}
	if len(t.answered) >= maxAnswers {
		t.dropOldestAnswers()
	}
	t.answered[answer.key()] = at
	t.revision++
	return true
}

// dropOldestAnswers drops half of the answers.
func (t *Table) dropOldestAnswers() {
	t.revision++
	middle := slices.Sorted(maps.Values(t.answered))[len(t.answered)/2]
	maps.DeleteFunc(t.answered, func(_ Key, at int64) bool { return at <= middle })
}

// mergeCrash adds a crash, and returns it with those prompts and requests that are new.
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
	t.revision++
	known.at = min(known.at, added.At)
	for _, lost := range c.Lost {
		prompt := lost.sorted()
		if !known.hasRoom(prompt) || slices.ContainsFunc(known.lost, func(p Prompt) bool { return p.equal(prompt) }) {
			continue
		}
		known.lost = append(known.lost, prompt)
		known.parts += len(prompt.Parts)
		added.Lost = append(added.Lost, prompt)
	}
	for _, fingerprint := range c.Requests {
		if len(known.requests) >= maxLost || slices.Contains(known.requests, fingerprint) {
			continue
		}
		known.requests = append(known.requests, fingerprint)
		added.Requests = append(added.Requests, fingerprint)
	}
	t.index(key, added.keys())
	for len(t.crashes) > maxCrashes || t.kept > maxKeptKeys {
		t.dropOldestCrash()
	}
	return added
}

// hasRoom reports whether another prompt may be kept with the crash.
func (c *crash) hasRoom(prompt Prompt) bool {
	return len(c.lost) < maxLost && c.parts+len(prompt.Parts) <= maxParts
}

// index adds a crash to those of its keys.
func (t *Table) index(incarnation uint64, keys []Key) {
	t.kept += len(keys)
	for _, key := range keys {
		if key.Kind == RequestKind && len(t.keys[key]) == 0 {
			t.requests++
		}
		if !slices.Contains(t.keys[key], incarnation) {
			t.keys[key] = append(t.keys[key], incarnation)
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
func (t *Table) drop(incarnation uint64) {
	t.revision++
	known := t.crashes[incarnation]
	keys := keysOf(known.lost, known.requests)
	t.kept -= len(keys)
	for _, key := range keys {
		crashes, found := t.keys[key]
		if !found {
			continue
		}
		t.keys[key] = slices.DeleteFunc(crashes, func(other uint64) bool { return other == incarnation })
		if len(t.keys[key]) > 0 {
			continue
		}
		delete(t.keys, key)
		if key.Kind == RequestKind {
			t.requests--
		}
	}
	delete(t.crashes, incarnation)
}

// Prune drops what is too old to matter.
func (t *Table) Prune(now time.Time) {
	limit := now.Add(-maxAge).UnixMilli()
	for key, known := range t.crashes {
		if known.at < limit {
			t.drop(key)
		}
	}
	maps.DeleteFunc(t.answered, func(_ Key, at int64) bool { return at < limit })
	t.revision++
}
