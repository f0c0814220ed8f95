package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// AnswerObserver is implemented by routers that estimate the capacity of targets from the
// times of their answers.
type AnswerObserver interface {
	// ObserveAnswer records how long an attempt with a complete answer that is no failure
	// took, from its start to the end of the answer. It must be called after ObserveLoad.
	ObserveAnswer(req *request.Request, target ident.Target, took time.Duration)
}

var _ AnswerObserver = (*CombinedRouter)(nil)

// ObserveAnswer passes the answer to the service router; the model router observes prompts
// instead.
func (c *CombinedRouter) ObserveAnswer(req *request.Request, target ident.Target, took time.Duration) {
	if req.Service != "" {
		c.Services.ObserveAnswer(req, target, took)
	}
}

// inFlight returns the number of requests that are expected at the target now, at least
// one.
func (t *targetTracker) inFlight(now time.Time) float64 {
	if t.answerLoadAt.IsZero() {
		return float64(max(1, t.outstanding))
	}
	return max(1, t.currentRequests(now))
}

// slots returns the number of the target's slots by its last answer or report. It is zero
// if the target states none.
func (t *targetTracker) slots(state *fleet.TargetState) int {
	if t.answerLoad.Slots > 0 {
		return t.answerLoad.Slots
	}
	return state.Load.Slots
}

// observeRejection takes into account that the target rejected a request.
func (t *targetTracker) observeRejection(now time.Time) {
	if t.capacity != nil && t.answerLoad.Slots > 0 {
		t.capacity.ObserveRejection(t.inFlight(now), float64(t.answerLoad.Slots), now)
	}
}

// stateWorkPercent records how long work takes on the target's host now by its statement.
func (t *targetTracker) stateWorkPercent(percent float64, now time.Time) {
	if t.capacity != nil {
		t.capacity.StateWorkPercent(percent, now)
	}
}
