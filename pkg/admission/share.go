package admission

import (
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// The positions of the classes in the order of service.
const (
	lookups = iota
	interactives
	deferrables
	classCount
)

// classOf returns the position of a class.
func classOf(class ident.Class) int {
	switch class {
	case ident.ClassLookup:
		return lookups
	case ident.ClassDeferrable:
		return deferrables
	default:
		return interactives
	}
}

// share is one workspace's part of a lane.
type share struct {
	name   ident.Workspace
	limits *limits
	weight float64
	// counter is the cost that the workspace was served, over its weight. It
	// only rises, but for corrections.
	counter float64
	// rate is the mean cost admitted a second.
	rate rate
	// queued are the waiting requests by class: the first two in order of
	// arrival, deferrable ones by deadline.
	queued [classCount][]*Entry
	// queuedCost is the sum of their costs by class.
	queuedCost [classCount]float64
}

// length counts the waiting requests.
func (s *share) length() int {
	n := 0
	for i := range s.queued {
		n += len(s.queued[i])
	}
	return n
}

// push adds a waiting request.
func (s *share) push(e *Entry) {
	at := len(s.queued[e.class])
	if e.class == deferrables {
		at, _ = slices.BinarySearchFunc(s.queued[deferrables], e, func(a, b *Entry) int {
			return a.Request.Deadline.Compare(b.Request.Deadline)
		})
	}
	s.queued[e.class] = slices.Insert(s.queued[e.class], at, e)
	s.queuedCost[e.class] += e.cost
}

// remove takes a waiting request out.
func (s *share) remove(e *Entry) {
	at := slices.Index(s.queued[e.class], e)
	if at < 0 {
		return
	}
	s.queued[e.class] = slices.Delete(s.queued[e.class], at, at+1)
	s.queuedCost[e.class] -= e.cost
}

// ahead is the cost of the workspace's own requests that go before a new one
// of the class.
func (s *share) ahead(class int) float64 {
	cost := 0.0
	for i := 0; i <= class; i++ {
		cost += s.queuedCost[i]
	}
	return cost
}
