package shift

import (
	"container/heap"
	"time"
)

// bound reckons the fluid capacity bound of a run: the work that one server
// with the whole fleet's capacity could do before the requests' deadlines,
// serving the earliest deadline first and interrupting at will. It takes every
// request at its least engine time: what is shared is always cached, roles fit
// at every moment and change in no time, and work divides without loss. No
// policy can do more work in time on the same engines.
func bound(arrivals []*arrival, capacity func(second int) float64) float64 {
	var waiting deadlineHeap
	served, next := 0.0, 0
	for second := 0; next < len(arrivals) || len(waiting) > 0; second++ {
		end := time.Duration(second+1) * time.Second
		for next < len(arrivals) && arrivals[next].at < end {
			a := arrivals[next]
			next++
			if a.work > 0 {
				heap.Push(&waiting, fluid{until: a.at + a.kind.deadline, work: a.work, counted: a.at >= settleTime})
			}
		}
		served += waiting.serve(capacity(second), end)
	}
	return served
}

// fluid is the work left of one request.
type fluid struct {
	until   time.Duration
	work    float64
	counted bool
}

// deadlineHeap orders work by its deadline.
type deadlineHeap []fluid

// serve does so much work and drops what is past its deadline.
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
	for len(*h) > 0 && (*h)[0].until < end {
		heap.Pop(h)
	}
	return served
}

// Len returns the count of requests.
func (h deadlineHeap) Len() int { return len(h) }

// Less orders two requests.
func (h deadlineHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap swaps two requests.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a request.
func (h *deadlineHeap) Push(x any) {
	f, _ := x.(fluid)
	*h = append(*h, f)
}

// Pop takes the last request.
func (h *deadlineHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
