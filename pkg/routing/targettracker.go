package routing

import (
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// targetTracker tracks one daemon's requests at one target and the target's
// load.
type targetTracker struct {
	// slot is the target's slot in the prefix index, negative if it has none.
	slot int
	// hash is the target's hash for rendezvous hashing.
	hash uint64
	// outstanding counts the requests that were sent and have not ended.
	outstanding int
	// unreportedSends are the requests that were sent too late for the last
	// report to include, oldest first.
	unreportedSends []sentRequest
	// unreportedEnds counts the requests that the last report includes and that
	// have ended since.
	unreportedEnds int
	// incarnation and sequence are those of the last observed report.
	incarnation ident.Incarnation
	sequence    uint64
	// answerLoad is the load that came with the last answer and answerLoadAt
	// its time; both are zero before the first.
	answerLoad   fleet.LoadReport
	answerLoadAt time.Time
	// meanLoad is the moving average of running and queued requests in these
	// loads.
	meanLoad float64
	// slowness is how many times longer prompts take at the target than
	// estimated without it; zero before the first prompt.
	slowness float64
	// typicalSlowness is the median slowness of the engines of its model and role,
	// or nil for other targets.
	typicalSlowness *medianTracker
	// decodeSlowness is how many times longer answers of its model take than at the
	// configured rate, or nil for other targets.
	decodeSlowness *medianTracker
	// capacity is what is known about a replica's speed and limit, or nil for engines.
	capacity *capacity.Target
	// pending holds the sent prompts that may not have been computed yet.
	pending map[ident.Request]sentRequest
	// urgentTokens and otherTokens are the uncached tokens of the pending
	// prompts with urgency 0 and of the others.
	urgentTokens, otherTokens float64
	// recentPrompts holds the prompt blocks that the target was sent recently.
	recentPrompts recentBlocks
	// failures counts consecutive failures; the target gets no new work before
	// ejectedUntil.
	failures     int
	ejectedUntil time.Time
	// excludedUntil is the time until which the engine gets no new work unless
	// its role changes first; role is its last reported role.
	excludedUntil time.Time
	role          fleet.Role
}

// sentRequest is a request that was sent to a target.
type sentRequest struct {
	id     ident.Request
	sentAt time.Time
	// uncachedTokens is the expected number of uncached prompt tokens.
	uncachedTokens float64
	// expectedTime is the expected time of the prompt, in seconds, and
	// assumedSlowness the slowness that it was estimated with.
	expectedTime, assumedSlowness float64
	// urgent is set if the request has urgency 0, the most urgent.
	urgent bool
}

const (
	// meanLoadWeight is the weight of the newest value in meanLoad.
	meanLoadWeight = 0.1
	// slownessWeight is the weight of the newest prompt in the slowness, which
	// stays between minSlowness and maxSlowness.
	slownessWeight = 0.2
	minSlowness    = 0.125
	maxSlowness    = 16
	// answerLoadDecay is the time constant with which the load from an answer
	// decays to the mean, since other daemons send to the target too.
	answerLoadDecay = 250 * time.Millisecond
)

// currentRequests returns the expected number of requests at the target now:
// the load from its last answer, decayed to the mean, plus the daemon's own
// sends and minus its ends since.
func (t *targetTracker) currentRequests(now time.Time) float64 {
	reported := float64(t.answerLoad.Running + t.answerLoad.Queued)
	decay := math.Exp(-now.Sub(t.answerLoadAt).Seconds() / answerLoadDecay.Seconds())
	return max(0, t.meanLoad+(reported-t.meanLoad)*decay+float64(len(t.unreportedSends)-t.unreportedEnds))
}

// assumedSlowness returns the slowness that prompt times are estimated with: that
// of other engines before the first prompt, and one if there are none.
func (t *targetTracker) assumedSlowness() float64 {
	switch {
	case t.slowness > 0:
		return t.slowness
	case t.typicalSlowness != nil:
		return t.typicalSlowness.valueOr(1)
	}
	return 1
}

// observePromptTime updates the slowness with the seconds that a prompt took.
// The expected time of the prompt includes the slowness assumed when it was
// sent. Short prompts are ignored, since most of their time is not spent on
// computing the prompt.
func (t *targetTracker) observePromptTime(actual float64, s sentRequest) {
	if s.expectedTime < minObservedPromptTime {
		return
	}
	observed := min(maxSlowness, max(minSlowness, s.assumedSlowness*actual/s.expectedTime))
	if t.typicalSlowness != nil {
		t.typicalSlowness.add(observed)
	}
	assumed := t.assumedSlowness()
	t.slowness = assumed + (observed-assumed)*slownessWeight
}

// minObservedPromptTime is the shortest expected prompt time, in seconds, for which
// observePromptTime updates the slowness.
const minObservedPromptTime = 0.05

// sums returns what the daemon has outstanding at the target. Tokens are whole
// numbers, which take fewer bytes in a message.
func (t *targetTracker) sums(name ident.Target) backlog.Outstanding {
	return backlog.Outstanding{
		Target: name, Urgent: math.Round(t.urgentTokens), Other: math.Round(t.otherTokens), Requests: float64(t.outstanding),
	}
}

// recordSend records that a request was sent.
func (t *targetTracker) recordSend(s sentRequest) {
	t.outstanding++
	t.unreportedSends = append(t.unreportedSends, s)
	if s.uncachedTokens > 0 {
		if t.pending == nil {
			t.pending = make(map[ident.Request]sentRequest)
		}
		t.pending[s.id] = s
		t.addPendingTokens(&s, 1)
	}
}

// recordDone records that a request has ended.
func (t *targetTracker) recordDone(id ident.Request) {
	t.outstanding = max(0, t.outstanding-1)
	t.removePending(id)
	for i := range t.unreportedSends {
		if t.unreportedSends[i].id == id {
			t.unreportedSends = slices.Delete(t.unreportedSends, i, i+1)
			return
		}
	}
	t.unreportedEnds++
}

// addPendingTokens adds a prompt's tokens to the pending sums if sign is 1, and
// subtracts them if it is -1.
func (t *targetTracker) addPendingTokens(s *sentRequest, sign float64) {
	if s.urgent {
		t.urgentTokens = max(0, t.urgentTokens+sign*s.uncachedTokens)
		return
	}
	t.otherTokens = max(0, t.otherTokens+sign*s.uncachedTokens)
}

// removePending removes a pending prompt and returns it.
func (t *targetTracker) removePending(id ident.Request) (sentRequest, bool) {
	s, ok := t.pending[id]
	if ok {
		delete(t.pending, id)
		t.addPendingTokens(&s, -1)
	}
	return s, ok
}

// observeAnswerLoad records a load that came with an answer. The load includes
// all requests that were sent before.
func (t *targetTracker) observeAnswerLoad(load fleet.LoadReport, now time.Time) {
	requests := float64(load.Running + load.Queued)
	if t.answerLoadAt.IsZero() {
		t.meanLoad = requests
	}
	t.meanLoad += (requests - t.meanLoad) * meanLoadWeight
	load.Sequence = t.answerLoad.Sequence + 1
	t.answerLoad, t.answerLoadAt = load, now
	t.unreportedEnds = 0
	t.unreportedSends = t.unreportedSends[:0]
}

// observeReport drops the sends and ends that a report taken at the given time
// includes.
func (t *targetTracker) observeReport(incarnation ident.Incarnation, sequence uint64, at time.Time) {
	if incarnation == t.incarnation && sequence == t.sequence {
		return
	}
	t.incarnation, t.sequence = incarnation, sequence
	t.unreportedEnds = 0
	included := 0
	for included < len(t.unreportedSends) && t.unreportedSends[included].sentAt.Before(at) {
		included++
	}
	t.unreportedSends = slices.Delete(t.unreportedSends, 0, included)
}

// backlog returns the prompt tokens that are still to be computed at now. It
// starts from the tokens reported as left at the time at, adds those of each
// unreported send, multiplied by factor, and subtracts rate tokens per second.
func (t *targetTracker) backlog(reportedTokens, rate, factor float64, at, now time.Time) float64 {
	left := reportedTokens
	for i := range t.unreportedSends {
		s := &t.unreportedSends[i]
		left = max(0, left-rate*s.sentAt.Sub(at).Seconds()) + factor*s.uncachedTokens
		at = s.sentAt
	}
	return max(0, left-rate*max(0, now.Sub(at).Seconds()))
}
