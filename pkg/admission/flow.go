package admission

import (
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// The indexes of the classes in service order.
const (
	classLookup = iota
	classInteractive
	classDeferrable
	classCount
)

// classIndex returns the index of a class.
func classIndex(class ident.Class) int {
	switch class {
	case ident.ClassLookup:
		return classLookup
	case ident.ClassDeferrable:
		return classDeferrable
	default:
		return classInteractive
	}
}

// flow holds the requests of one workspace in a scheduler.
type flow struct {
	name   ident.Workspace
	limits *limits
	weight float64
	// counter is the workspace's virtual token counter: the cost of its admitted
	// requests and its usage at other daemons, divided by its weight. It decreases
	// only when an expected cost is corrected to the actual cost.
	counter float64
	// rate is the mean admitted cost per second.
	rate rate
	// queued holds the waiting requests by class: lookups and interactive
	// requests in order of arrival, deferrable requests by deadline.
	queued [classCount][]*Entry
	// queuedCost is the total cost of the waiting requests by class.
	queuedCost [classCount]float64
}

// length returns the number of waiting requests.
func (f *flow) length() int {
	n := 0
	for i := range f.queued {
		n += len(f.queued[i])
	}
	return n
}

// push adds a waiting request.
func (f *flow) push(e *Entry) {
	at := len(f.queued[e.class])
	if e.class == classDeferrable {
		at, _ = slices.BinarySearchFunc(f.queued[classDeferrable], e, func(a, b *Entry) int {
			return a.Request.Deadline.Compare(b.Request.Deadline)
		})
	}
	f.queued[e.class] = slices.Insert(f.queued[e.class], at, e)
	f.queuedCost[e.class] += e.cost
}

// remove removes a waiting request.
func (f *flow) remove(e *Entry) {
	at := slices.Index(f.queued[e.class], e)
	if at < 0 {
		return
	}
	f.queued[e.class] = slices.Delete(f.queued[e.class], at, at+1)
	f.queuedCost[e.class] -= e.cost
}

// costAhead returns the cost of the flow's waiting requests that are served before
// a new request of the class.
func (f *flow) costAhead(class int) float64 {
	cost := 0.0
	for i := 0; i <= class; i++ {
		cost += f.queuedCost[i]
	}
	return cost
}
