package retry

import "time"

// recentSlots is the number of slots into which a window is divided.
const recentSlots = 10

// recent counts the requests and retries of the last window, in slots. Its zero value
// is empty.
type recent struct {
	// slots is a ring, one slot longer than a window; at is the newest slot's number.
	slots [recentSlots + 1]recentSlot
	at    int64
}

// recentSlot holds the counts of one slot.
type recentSlot struct{ requests, retries float64 }

// advance drops the slots that are over at the given time.
func (r *recent) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / int64(window/recentSlots)
	for n := int64(0); r.at < at && n < int64(len(r.slots)); n++ {
		r.at++
		*r.current() = recentSlot{}
	}
	r.at = max(r.at, at)
}

// current returns the newest slot.
func (r *recent) current() *recentSlot { return &r.slots[r.at%int64(len(r.slots))] }

// allows reports whether another retry keeps to a ratio of the requests. The requests
// are those of at most a window, and the retries those of at least one.
func (r *recent) allows(ratio float64) bool {
	oldest := &r.slots[(r.at+1)%int64(len(r.slots))]
	requests, retries := -oldest.requests, 1.0
	for i := range r.slots {
		requests += r.slots[i].requests
		retries += r.slots[i].retries
	}
	return retries <= ratio*requests
}
