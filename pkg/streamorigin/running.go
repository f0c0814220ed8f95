package streamorigin

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// minStoredAge is the age from which a stream that was not complete is written to the
	// store. Shorter ones cost no call.
	minStoredAge = 50 * time.Millisecond
	// maxRunning bounds the streams that are kept. The oldest make room.
	maxRunning = 1 << 14
)

// runningStreams are the streams begun at this daemon that were not answered whole: those in
// progress, and those that broke off and may be taken up again.
type runningStreams struct {
	streams map[streamKey]runningStream
	// order holds the streams from the oldest to the newest.
	order []agedStream
}

// runningStream is one of the streams.
type runningStream struct {
	origin
	// stored is set once the store has the stream.
	stored bool
}

// newRunningStreams returns no streams.
func newRunningStreams() *runningStreams {
	return &runningStreams{streams: make(map[streamKey]runningStream)}
}

// begin adds a stream, and removes those that began longer than retention before it.
func (r *runningStreams) begin(key streamKey, o origin, retention time.Duration) {
	r.streams[key] = runningStream{origin: o}
	r.order = append(r.order, agedStream{key: key, at: o.at})
	r.expire(o.at, retention, maxRunning)
}

// expire removes streams that began longer than retention ago, and the oldest beyond limit.
func (r *runningStreams) expire(now time.Time, retention time.Duration, limit int) {
	for len(r.order) > 0 && (len(r.order) > limit || now.Sub(r.order[0].at) > retention) {
		if found, ok := r.streams[r.order[0].key]; ok && found.at.Equal(r.order[0].at) {
			delete(r.streams, r.order[0].key)
		}
		r.order = r.order[1:]
	}
}

// end removes a stream that was answered whole.
func (r *runningStreams) end(key streamKey) { delete(r.streams, key) }

// due returns the streams that are old enough to be written, by version, and whether one of
// them is not in the store. included reports whether the streams of a pool are written.
func (r *runningStreams) due(now time.Time, included func(ident.Pool) bool) (due []Origins, unstored bool) {
	for key, found := range r.streams {
		if now.Sub(found.at) < minStoredAge || !included(found.pool) {
			continue
		}
		unstored = unstored || !found.stored
		due = appendOrigin(due, key, &found.origin)
	}
	return due, unstored
}

// markStored records that the store has the given streams.
func (r *runningStreams) markStored(stored []Origins) {
	for i := range stored {
		for _, key := range splitKeys(stored[i].Streams) {
			if found, ok := r.streams[key]; ok {
				found.stored = true
				r.streams[key] = found
			}
		}
	}
}

// markUnstored records that the store has no stream.
func (r *runningStreams) markUnstored() {
	for key, found := range r.streams {
		found.stored = false
		r.streams[key] = found
	}
}

// appendOrigin adds a stream to those of its pool and version.
func appendOrigin(all []Origins, key streamKey, o *origin) []Origins {
	i := slices.IndexFunc(all, func(known Origins) bool { return known.pool() == o.pool && known.Version == o.version })
	if i < 0 {
		i = len(all)
		all = append(all, newOrigins(o.pool, o.version, nil))
	}
	all[i].Streams = appendKey(all[i].Streams, key)
	return all
}
