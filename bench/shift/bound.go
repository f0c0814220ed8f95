package shift

import (
	"container/heap"
	"time"
)

// fluidBound returns the fluid bound of a run: the work in engine seconds that one
// preemptive earliest-deadline-first server with the whole fleet's capacity could
// do before the requests' deadlines. Every request takes its minEngineTime: shared
// tokens are always cached, the engines' roles always match the load and change in
// no time, and work is divided without loss. No policy can do more work in time on
// the same engines.
func fluidBound(arrivals []*arrival, capacity func(second int) float64) float64 {
	var waiting deadlineHeap
	served, next := 0.0, 0
	for second := 0; next < len(arrivals) || len(waiting) > 0; second++ {
		end := time.Duration(second+1) * time.Second
		for next < len(arrivals) && arrivals[next].at < end {
			a := arrivals[next]
			next++
			if a.work > 0 {
				heap.Push(&waiting, remainingWork{deadline: a.at + a.kind.deadline, work: a.work, counted: a.at >= warmupTime})
			}
		}
		served += waiting.serve(capacity(second), end)
	}
	return served
}

// remainingWork is the work of one request that is still to be done. It is
// counted if the request arrived after the warm-up.
type remainingWork struct {
	deadline time.Duration
	work     float64
	counted  bool
}

// deadlineHeap orders work by its deadline.
type deadlineHeap []remainingWork

// serve does up to capacity of the work, earliest deadline first, and drops what
// is past its deadline at end. It returns the counted work that was done.
func (h *deadlineHeap) serve(capacity float64, end time.Duration) float64 {
	served := 0.0
	for capacity > 0 && len(*h) > 0 {
		first := &(*h)[0]
		part := min(capacity, first.work)
		capacity -= part
		first.work -= part
		if first.counted {
			served += part
		}
		if first.work <= 0 {
			heap.Pop(h)
		}
	}
	for len(*h) > 0 && (*h)[0].deadline < end {
		heap.Pop(h)
	}
	return served
}

// Len returns the count of requests.
func (h deadlineHeap) Len() int { return len(h) }

// Less reports whether request i has an earlier deadline than request j.
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap swaps two requests.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a request.
func (h *deadlineHeap) Push(x any) {
	w, _ := x.(remainingWork)
	*h = append(*h, w)
}

// Pop removes and returns the last request.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
