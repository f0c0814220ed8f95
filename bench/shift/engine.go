package shift

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// prefillRate is a mixed engine's prefill rate in tokens per second.
	prefillRate = 20000
	// decodeRate is the rate of one answer in tokens per second.
	decodeRate = 30
	// slots is how many requests a mixed engine runs at once.
	slots = 32
	// prefillGain and decodeGain are what an engine with one role does more,
	// in prefill rate and in slots: it keeps no memory for the other part.
	prefillGain = 1.1
	decodeGain  = 1.15
	// slowedDecode is the speed of decoding while a prompt is computed, and
	// slowedPrefill the further factor on prefill beside decoding.
	slowedDecode  = 0.6
	slowedPrefill = 0.9
	// memoryPieces is the size of the prefix memory; a block is pieceBlock of
	// them.
	memoryPieces = 2000
	pieceBlock   = 8
	// lookupSlots is how many lookups run beyond the slots.
	lookupSlots = 8
	// moveRate is how fast KV cache moves in tokens per second.
	moveRate = 200000
	// classes is the count of priorities.
	classes = 3
)

// engine is a fake model engine with continuous batching.
type engine struct {
	sim    *simulator
	record external.TargetRecord
	role   fleet.Role
	alive  bool
	// born and gone bound the time that the engine is paid for.
	born, gone time.Duration
	memory     *memory
	// incarnation counts the process's starts.
	incarnation ident.Incarnation

	waiting  [classes][]*job
	prefills []*job
	running  jobHeap
	// held counts the slots in use.
	held int
	// clock counts the tokens that each decoding request has got.
	clock float64
	// updated is when the state was last brought up to date.
	updated time.Duration
	// plan numbers the newest planned event; older ones are void.
	plan uint64

	computed, generated           float64
	deferComputed, deferGenerated float64
	sequence                      uint64
	reports                       []fleet.LoadReport
	// heldAt is when the engine was held for an order, leaving when it got its
	// notice; zero without one.
	heldAt, leaving time.Duration
}

// slotCount returns how many requests the engine runs at once.
func (e *engine) slotCount() int {
	if e.role == fleet.Decode {
		return int(math.Round(slots * decodeGain))
	}
	return slots
}

// rates returns the present prefill rate and the decode speed.
func (e *engine) rates() (prefill, decode float64) {
	if len(e.prefills) == 0 {
		return 0, decodeRate
	}
	rate := float64(prefillRate)
	if e.role == fleet.Prefill {
		rate *= prefillGain
	}
	if len(e.running) == 0 {
		return rate, 0
	}
	part := min(1, float64(len(e.running))/float64(e.slotCount()))
	return rate * (1 - slowedDecode*part) * slowedPrefill, decodeRate * slowedDecode
}

// advance brings the state up to now.
func (e *engine) advance() {
	elapsed := (e.sim.now - e.updated).Seconds()
	e.updated = e.sim.now
	if elapsed <= 0 {
		return
	}
	prefill, decode := e.rates()
	if j := e.current(); j != nil {
		j.left -= prefill * elapsed
		e.computed += prefill * elapsed
		if j.class == classes-1 {
			e.deferComputed += prefill * elapsed
		}
	}
	e.clock += decode * elapsed
	e.generated += decode * elapsed * float64(len(e.running))
	for _, j := range e.running {
		if j.class == classes-1 {
			e.deferGenerated += decode * elapsed
		}
	}
}

// current returns the job whose prompt is computed now: the most urgent that
// came first. What the memory holds counts when its computing starts.
func (e *engine) current() *job {
	var best *job
	for _, j := range e.prefills {
		if best == nil || j.class < best.class {
			best = j
		}
	}
	if best != nil && !best.started {
		best.started = true
		best.left = e.uncached(best)
	}
	return best
}

// submit takes a job; a dead engine fails it at once.
func (e *engine) submit(j *job) {
	if !e.alive {
		e.sim.after(time.Millisecond, func() { j.done(true) })
		return
	}
	e.advance()
	j.at = e
	e.waiting[j.class] = append(e.waiting[j.class], j)
	e.settle()
}

// settle gives out slots, ends what is complete and plans the next event.
func (e *engine) settle() {
	for e.step() {
	}
	e.fill()
	e.schedule()
}

// step ends one part of a job that is complete, and reports whether it did.
func (e *engine) step() bool {
	const tolerance = 1e-6
	if len(e.running) > 0 && e.running[0].finish <= e.clock+tolerance {
		j, _ := heap.Pop(&e.running).(*job)
		e.held--
		j.at = nil
		e.sim.after(0, func() { j.done(false) })
		return true
	}
	if j := e.current(); j != nil && j.left <= tolerance {
		e.prompted(j)
		return true
	}
	return false
}

// prompted hands a job with its prompt computed to its decoding.
func (e *engine) prompted(j *job) {
	e.prefills = slices.DeleteFunc(e.prefills, func(o *job) bool { return o == j })
	e.memory.store(j.req.Prefix)
	j.prompted = true
	if j.decode == nil {
		e.startDecode(j)
		return
	}
	e.held--
	next := j.decode
	j.at, j.decode = nil, nil
	e.sim.after(moveTime(j.req), func() { next.submit(j) })
}

// moveTime is how long a request's KV cache takes to move.
func moveTime(req *request.Request) time.Duration {
	return time.Duration(float64(req.PromptTokens) / moveRate * float64(time.Second))
}

// startDecode puts a job among the running.
func (e *engine) startDecode(j *job) {
	j.finish = e.clock + j.output
	heap.Push(&e.running, j)
}

// fill gives free slots to the most urgent waiting jobs.
func (e *engine) fill() {
	for class := range e.waiting {
		limit := e.slotCount()
		if class == 0 {
			limit += lookupSlots
		}
		for len(e.waiting[class]) > 0 && e.held < limit {
			j := e.waiting[class][0]
			e.waiting[class] = e.waiting[class][1:]
			e.held++
			if j.prompted {
				e.startDecode(j)
				continue
			}
			e.prefills = append(e.prefills, j)
		}
	}
}

// uncached returns the prompt tokens that the memory doesn't hold; at least
// one is always computed.
func (e *engine) uncached(j *job) float64 {
	return max(1, float64(j.req.PromptTokens-e.memory.depth(j.req.Prefix)*request.PrefixBlockTokens))
}

// schedule plans the next change of the engine's state.
func (e *engine) schedule() {
	e.plan++
	plan := e.plan
	prefill, decode := e.rates()
	wait := -1.0
	if j := e.current(); j != nil {
		wait = max(0, j.left) / prefill
	}
	if len(e.running) > 0 && decode > 0 {
		left := max(0, e.running[0].finish-e.clock) / decode
		if wait < 0 || left < wait {
			wait = left
		}
	}
	if wait < 0 {
		return
	}
	e.sim.after(time.Duration(wait*float64(time.Second))+time.Nanosecond, func() {
		if e.plan != plan || !e.alive {
			return
		}
		e.advance()
		e.settle()
	})
}

// jobs returns all jobs of the engine.
func (e *engine) jobs() []*job {
	var all []*job
	all = append(all, e.running...)
	all = append(all, e.prefills...)
	for class := range e.waiting {
		all = append(all, e.waiting[class]...)
	}
	return all
}
