package shift

import (
	"amaranthplank.example/amaranthplank/pkg/request"
)

// job is one attempt of a request at an engine.
type job struct {
	req *request.Request
	// class orders jobs at an engine; the lowest goes first.
	class int
	// left is the prompt tokens that are still to be computed.
	left float64
	// output is the tokens that are still to be generated.
	output float64
	// started is set once the computing of the prompt has begun.
	started bool
	// prompted is set once the prompt was computed.
	prompted bool
	// decode takes the job over after its prompt; nil keeps it.
	decode *engine
	// finish is the engine's decode clock at which the output is complete, and
	// index the job's place among the running.
	finish float64
	index  int
	// done is called once with how the job ended.
	done func(failed bool)
	// at is the engine that has the job.
	at *engine
	// move takes the job to another engine.
	move func()
}

// jobHeap orders decoding jobs by their finish.
type jobHeap []*job

// Len returns the count of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less orders two jobs.
func (h jobHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }

// Swap swaps two jobs.
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

// Pop takes the last job.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
