package poison

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

const (
	// maxSuspicions bounds the requests that are refused, in the store too. Beyond it the
	// one that was received least recently is dropped.
	maxSuspicions = 512
	// keptFor is how long a request is refused that is not received, and refreshAfter the
	// age from which on the record of one that is received is written again.
	keptFor      = 24 * time.Hour
	refreshAfter = keptFor / 2
	// probeAfter is how long a request is refused before it may be sent once more, and
	// claimInterval the least time between two tries of a daemon to claim that.
	probeAfter    = time.Minute
	claimInterval = 10 * time.Second
	// standInAfter and standInSpread bound the time after which a daemon writes what the
	// one that noticed the crash should have written.
	standInAfter  = 2 * time.Second
	standInSpread = 3 * time.Second
	// writeRetryInterval is the time after which a failed write is tried again.
	writeRetryInterval = 2 * time.Second
)

// record is a suspicion as it is kept in the store.
type record struct {
	// At is Suspicion.At.
	At int64 `json:"at"`
	// Kept is when the record was written, in Unix milliseconds.
	Kept int64 `json:"kept"`
	// Prober is the process that may send the request once more, or has done so.
	Prober string `json:"prober,omitempty"`
}

// suspicion is a request that is refused, and what this daemon knows of its record.
type suspicion struct {
	record
	// asked is when the request last came, in Unix milliseconds.
	asked int64
	// cleared is set once the request is no longer refused, but still has a record.
	cleared bool
	// stored is set while the store has a record, whose version is known if it is not
	// NoVersion.
	stored  bool
	version external.Version
	// unwritten is set if the record has to be written or removed, after due.
	unwritten bool
	due       int64
	// probed is set once this process has sent the probe, and claimAfter is the earliest
	// time of its next try to claim it.
	probed     bool
	claimAfter int64
}

// suspicions are the requests that are refused. They must not be used concurrently.
type suspicions struct {
	random *rand.Rand
	held   map[uint64]*suspicion
	// storeAway is set while the store can't be read, when nothing is written.
	storeAway bool
}

// newSuspicions returns none.
func newSuspicions() *suspicions {
	return &suspicions{random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), held: make(map[uint64]*suspicion)}
}

// has reports whether a key is a request that is refused.
func (s *suspicions) has(key Key) bool {
	found := s.held[key.Hash]
	return key.Kind == RequestKind && found != nil && !found.cleared
}

// count returns the number of requests that are refused.
func (s *suspicions) count() int {
	count := 0
	for _, found := range s.held {
		if !found.cleared {
			count++
		}
	}
	return count
}

// add adds a suspicion. Its record is written immediately if this daemon noticed the
// crash, else only if no other daemon does so. It reports whether the request was not
// refused before.
func (s *suspicions) add(hash uint64, at int64, now time.Time, own bool) bool {
	found := s.held[hash]
	if found != nil && !found.cleared {
		found.At = max(found.At, at)
		return false
	}
	if found == nil {
		found = &suspicion{}
		s.held[hash] = found
	}
	found.At, found.Kept, found.asked, found.cleared = max(found.At, at), now.UnixMilli(), now.UnixMilli(), false
	s.schedule(found, now, own)
	s.limit(now, own)
	return true
}

// schedule has a record written or removed.
func (s *suspicions) schedule(found *suspicion, now time.Time, own bool) {
	delay := time.Duration(0)
	if !own {
		delay = standInAfter + time.Duration(s.random.Int64N(int64(standInSpread)))
	}
	found.unwritten, found.due = true, now.Add(delay).UnixMilli()
}

// limit drops the requests that were received least recently. The daemon that added one
// removes their records too; the others keep twice as many until these are gone.
func (s *suspicions) limit(now time.Time, own bool) {
	for own && s.count() > maxSuspicions {
		s.drop(s.leastAsked(false), now, true)
	}
	for len(s.held) > 2*maxSuspicions {
		delete(s.held, s.leastAsked(len(s.held) > s.count()))
	}
}

// leastAsked returns the request that was received least recently, of those that are no
// longer refused if cleared is set, else of those that are.
func (s *suspicions) leastAsked(cleared bool) uint64 {
	var least uint64
	oldest := int64(math.MaxInt64)
	for hash, found := range s.held {
		if found.cleared == cleared && cmp.Or(cmp.Compare(found.asked, oldest), cmp.Compare(hash, least)) < 0 {
			least, oldest = hash, found.asked
		}
	}
	return least
}

// drop ends a suspicion, and has its record removed.
func (s *suspicions) drop(hash uint64, now time.Time, own bool) {
	found := s.held[hash]
	if !found.stored {
		delete(s.held, hash)
		return
	}
	found.cleared = true
	s.schedule(found, now, own)
}

// answered ends the suspicion of a request that was answered. It reports whether it was
// refused before.
func (s *suspicions) answered(hash uint64, at int64, now time.Time, own bool) bool {
	found := s.held[hash]
	if found == nil || found.cleared || found.At >= at {
		return false
	}
	s.drop(hash, now, own)
	return true
}

// expire ends the suspicions whose requests were not received in keptFor, and has the
// records of the others written again before that.
func (s *suspicions) expire(now time.Time) {
	for hash, found := range s.held {
		if found.cleared || found.unwritten {
			continue
		}
		switch {
		case now.UnixMilli()-found.Kept > keptFor.Milliseconds():
			s.drop(hash, now, false)
		case found.asked-found.Kept > refreshAfter.Milliseconds():
			found.Kept = now.UnixMilli()
			s.schedule(found, now, false)
		}
	}
}

// due returns the requests whose records have to be written or removed now, at most
// maxWrites.
func (s *suspicions) due(now time.Time) []uint64 {
	if s.storeAway {
		return nil
	}
	var due []uint64
	for hash, found := range s.held {
		if found.unwritten && found.due <= now.UnixMilli() {
			due = append(due, hash)
		}
	}
	slices.Sort(due)
	return due[:min(maxWrites, len(due))]
}

// all returns the suspicions for a daemon that may lack them.
func (s *suspicions) all() []Suspicion {
	var all []Suspicion
	for hash, found := range s.held {
		if !found.cleared {
			all = append(all, Suspicion{Request: hash, At: found.At})
		}
	}
	return all
}
