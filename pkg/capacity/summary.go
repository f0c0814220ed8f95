package capacity

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// A summary is a sequence of entries of entryBytes: the hash of a target's incarnation (4
// bytes, big endian); two bits that are zero, and bucket and number of samples (3 bits each);
// and the mean of the samples' logarithms in steps of 1/levelSteps.
const (
	entryBytes = 6
	maxSamples = 7
	levelSteps = 24
	bucketBits = 3
)

const (
	// summaryInterval is the least time between two summaries.
	summaryInterval = 200 * time.Millisecond
	// summaryRate bounds the bytes a second of the summaries to all receivers together,
	// and summaryBurst those of one.
	summaryRate  = 2048
	summaryBurst = 4096
	// maxPending bounds the entries that wait to be sent, and maxSent the levels that are
	// kept of sent ones.
	maxPending = 4096
	maxSent    = 8192
	// unsentRank is the rank of a sample whose target has not been sent before.
	// unchangedRank is that of one that equals what was sent.
	unsentRank    = 1.0
	unchangedRank = 0.05
)

// entryID identifies what samples are summed up.
type entryID struct {
	key    uint32
	bucket uint8
}

// pendingEntry is the sum of samples that have not been sent.
type pendingEntry struct {
	samples, sum float64
}

// Outbox sums up samples until they are sent to other daemons: those that differ most from
// what was sent before first. Its bytes are bounded by summaryRate.
type Outbox struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	next    time.Time
	pending map[entryID]pendingEntry
	sent    map[entryID]float64
}

// NewOutbox returns an outbox without samples.
func NewOutbox() *Outbox {
	return &Outbox{
		limiter: rate.NewLimiter(summaryRate, summaryBurst),
		pending: make(map[entryID]pendingEntry), sent: make(map[entryID]float64),
	}
}

// Forward adds the samples of another daemon's summary.
func (o *Outbox) Forward(summary []byte) {
	for entry := range slices.Chunk(summary, entryBytes) {
		if id, value, samples, ok := decodeEntry(entry); ok {
			o.add(id, value, samples)
		}
	}
}

// Take returns the summary that is to be sent to a number of daemons now, or nil.
func (o *Outbox) Take(receivers int, now time.Time) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if receivers < 1 || len(o.pending) == 0 || now.Before(o.next) {
		return nil
	}
	o.next = now.Add(summaryInterval)
	var summary []byte
	for _, id := range o.ranked() {
		if !o.limiter.AllowN(now, entryBytes*receivers) {
			break
		}
		entry := o.pending[id]
		delete(o.pending, id)
		level := entry.sum / entry.samples
		summary = appendEntry(summary, id, level, entry.samples)
		o.recordSent(id, level)
	}
	return summary
}

// add adds the mean of samples.
func (o *Outbox) add(id entryID, value, samples float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, known := o.pending[id]
	if !known && len(o.pending) >= maxPending {
		return
	}
	entry.samples += samples
	entry.sum += samples * value
	o.pending[id] = entry
}

// ranked returns the pending entries in the order in which they are sent.
func (o *Outbox) ranked() []entryID {
	ids := make([]entryID, 0, len(o.pending))
	ranks := make(map[entryID]float64, len(o.pending))
	for id, entry := range o.pending {
		ids = append(ids, id)
		ranks[id] = o.rank(id, entry)
	}
	slices.SortFunc(ids, func(a, b entryID) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a.key, b.key), cmp.Compare(a.bucket, b.bucket))
	})
	return ids
}

// rank returns how much an entry differs from what was sent, by its samples.
func (o *Outbox) rank(id entryID, entry pendingEntry) float64 {
	sent, known := o.sent[id]
	if !known {
		return entry.samples * unsentRank
	}
	return entry.samples * (unchangedRank + math.Abs(entry.sum/entry.samples-sent))
}

// recordSent keeps the level that was sent for an entry.
func (o *Outbox) recordSent(id entryID, level float64) {
	if _, known := o.sent[id]; !known && len(o.sent) >= maxSent {
		clear(o.sent)
	}
	o.sent[id] = level
}

// appendEntry appends an encoded entry to a summary.
func appendEntry(summary []byte, id entryID, level, samples float64) []byte {
	count := byte(min(maxSamples, max(1, samples)))
	steps := clamp(math.Round(level*levelSteps), math.MinInt8, math.MaxInt8)
	summary = binary.BigEndian.AppendUint32(summary, id.key)
	return append(summary, id.bucket<<bucketBits|count, byte(int8(steps)))
}

// decodeEntry decodes an entry of a summary. It returns false if the entry is malformed.
func decodeEntry(entry []byte) (id entryID, level, samples float64, ok bool) {
	if len(entry) != entryBytes {
		return entryID{}, 0, 0, false
	}
	head := entry[4]
	id = entryID{key: binary.BigEndian.Uint32(entry), bucket: head >> bucketBits}
	samples = float64(head & maxSamples)
	return id, float64(int8(entry[5])) / levelSteps, samples, samples > 0 && id.bucket <= waitedBucket
}
