package shift

import (
	"amaranthplank.example/amaranthplank/pkg/request"
)

// job is one attempt of a request at an engine.
type job struct {
	req *request.Request
	// priority orders jobs at an engine; the lowest value goes first.
	priority int
	// remainingPrompt is the prompt tokens that are still to be computed. It is
	// set when the prefill starts.
	remainingPrompt float64
	// remainingOutput is the output tokens to generate, as of the start of the
	// decode on the present engine.
	remainingOutput float64
	// prefillStarted is set once the computation of the prompt has begun.
	prefillStarted bool
	// prefillDone is set once the prompt was computed.
	prefillDone bool
	// decodeEngine is the engine that decodes the job after its prefill; nil
	// means the same engine.
	decodeEngine *engine
	// finishClock is the engine's decodeClock at which the output is complete,
	// and index the job's position in the heap of running jobs.
	finishClock float64
	index       int
	// done is called once, when the job ends.
	done func(failed bool)
	// engine is the engine that has the job, nil while the job moves or has
	// ended.
	engine *engine
	// move moves the job to another engine.
	move func()
}

// jobHeap orders decoding jobs by their finishClock.
type jobHeap []*job

// Len returns the count of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether job i finishes before job j.
func (h jobHeap) Less(i, j int) bool { return h[i].finishClock < h[j].finishClock }

// Swap swaps two jobs and their indexes.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a job.
func (h *jobHeap) Push(x any) {
	j, _ := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop removes and returns the last job.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
