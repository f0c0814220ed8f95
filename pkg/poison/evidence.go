package poison

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Evidence is the message that daemons exchange.
type Evidence struct {
	Crashes []Crash
	Answers []Answer
	// Relayed is set if the message covers the sender's cell and is not to be sent
	// on; see backlog.Topology.
	Relayed bool
	// Suspicions are sent to a daemon that may lack the crashes they rest on.
	Suspicions []Suspicion
}

// Crash is the end of one incarnation of a target under requests that it had not
// answered.
type Crash struct {
	// Incarnation is the hash of the target's name and incarnation.
	Incarnation uint64
	// At is when the sender noticed it, in Unix milliseconds.
	At   int64
	Lost []Prompt
	// Requests are the fingerprints of the requests.
	Requests []uint64
}

// hashes returns the number of hashes that describe what was lost at the crash.
func (c *Crash) hashes() int {
	count := len(c.Requests) + len(c.Lost)
	for i := range c.Lost {
		count += len(c.Lost[i].Parts)
	}
	return count
}

// newestCrashes returns the newest of some crashes, sorted by time: at most count of them, with at
// most the given number of hashes.
func newestCrashes(crashes []Crash, count, hashes int) []Crash {
	slices.SortStableFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	first := len(crashes)
	for first > max(0, len(crashes)-count) && crashes[first-1].hashes() <= hashes {
		first--
		hashes -= crashes[first].hashes()
	}
	return crashes[first:]
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Own distinguishes the request from others: a hash of the last part, which belongs to the
	// request or its session, and of the request.
	Own uint64
	// Parts are the hashes of the parts before it, each of the part alone.
	Parts []uint64
}

// sorted returns the prompt with its parts sorted, each once, and at most maxParts.
func (p *Prompt) sorted() Prompt {
	parts := slices.Compact(slices.Sorted(slices.Values(p.Parts)))
	return Prompt{Own: p.Own, Parts: parts[:min(len(parts), maxParts)]}
}

// has reports whether a part is in the prompt, whose parts are sorted.
func (p *Prompt) has(part uint64) bool {
	_, found := slices.BinarySearch(p.Parts, part)
	return found
}

// equal reports whether two prompts are the same.
func (p *Prompt) equal(other Prompt) bool {
	return p.Own == other.Own && slices.Equal(p.Parts, other.Parts)
}

// Answer is the newest complete answer to a prompt with a part, or to a request.
type Answer struct {
	// Part is the hash of the part, or the fingerprint of the request.
	Part uint64
	// At is when the answer ended, in Unix milliseconds.
	At   int64
	Kind Kind
}

// key returns what was answered.
func (a *Answer) key() Key { return Key{Kind: a.Kind, Hash: a.Part} }

// Suspicion is a request that is refused because targets crashed under it.
type Suspicion struct {
	Request uint64
	// At is when the last of the crashes that it rests on was noticed, in Unix
	// milliseconds.
	At int64
}

// empty reports whether there is nothing to send.
func (e *Evidence) empty() bool { return len(e.Crashes)+len(e.Answers)+len(e.Suspicions) == 0 }

// hashIncarnation returns the hash of a target's name and incarnation.
func hashIncarnation(name ident.Target, incarnation ident.Incarnation) uint64 {
	return xxhash.Sum64String(string(name) + "/" + strconv.FormatUint(uint64(incarnation), 10))
}
