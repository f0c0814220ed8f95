package routing

import (
	"math"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Work is how a model's work divides into prompts and answers.
type Work struct {
	// DecodeLoad is the number of requests at the engines that generate answers,
	// waiting ones included, in full batches: 2 means that they would fill two
	// engines. It is the load of the whole fleet.
	DecodeLoad float64
	// PrefillPart is the share, from 0 to 1, of the engines' time that prompts
	// take which are computed apart. It is that of this daemon's requests.
	PrefillPart float64
}

// WorkObserver is implemented by routers that meter how long engines work on prompts
// and on answers.
type WorkObserver interface {
	// ObserveWork records that an attempt occupied a target for the time answer, after
	// its prompt had taken the time prompt on another engine; prompt is zero if the
	// target computed the prompt itself.
	ObserveWork(req *request.Request, target ident.Target, prompt, answer time.Duration)
}

var _ WorkObserver = (*CombinedRouter)(nil)

// ObserveWork passes the times to the model router; services have no work to divide.
func (c *CombinedRouter) ObserveWork(req *request.Request, target ident.Target, prompt, answer time.Duration) {
	if req.Service == "" {
		c.Models.ObserveWork(req, target, prompt, answer)
	}
}

// ObserveWork records the work of an attempt in seconds of an engine. An answer takes
// one of the engine's slots.
func (r *ModelRouter) ObserveWork(req *request.Request, target ident.Target, prompt, answer time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.refresh().Target(target)
	if state == nil || state.Load.Role == fleet.Prefill {
		return
	}
	meter, now := r.meter(req.Model), r.opts.Now()
	meter.prefill.add(prompt.Seconds(), now)
	meter.decode.add(answer.Seconds()/slotsOf(state), now)
	if prompt > 0 && req.MaxOutputTokens > 0 {
		meter.decodeSlowness.add(answer.Seconds() * r.opts.Knobs().DecodeRate / float64(req.MaxOutputTokens))
	}
}

// Work returns how the model's work divides, or false as long as this daemon has had
// no answer or too few daemons report their requests. A request whose prompt is being
// computed apart is reported at both engines and occupies only that of the prompt.
func (r *ModelRouter) Work(model ident.Model) (Work, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	engines := snapshot.Model(model)
	r.updateFleetBacklog(snapshot, engines)
	meter, now := r.meter(model), r.opts.Now()
	prefill, decode := meter.prefill.level(now), meter.decode.level(now)
	if decode <= 0 || r.opts.PeerBacklog == nil || r.fleetBacklog.unreportedRatio > maxUnreportedRatio {
		return Work{}, false
	}
	load := 0.0
	for _, i := range engines {
		state := &snapshot.Targets[i]
		share := r.fleetBacklog.expected(i, state.Load.Role).Requests / slotsOf(state)
		if state.Load.Role == fleet.Prefill {
			share = -share
		}
		load += share
	}
	return Work{DecodeLoad: max(0, load), PrefillPart: prefill / (prefill + decode)}, true
}

// meter returns the meter of a model's work.
func (r *ModelRouter) meter(model ident.Model) *workMeter {
	meter, ok := r.meters[model]
	if !ok {
		meter = &workMeter{}
		r.meters[model] = meter
	}
	return meter
}

// workMeter meters one model's work in seconds of an engine.
type workMeter struct {
	prefill, decode decayingSum
	// prefillSlowness and otherSlowness are the medians of the slowness of the
	// prefill engines and of all others.
	prefillSlowness, otherSlowness medianTracker
	// decodeSlowness is the median of how many times longer answers take than at the
	// configured rate.
	decodeSlowness medianTracker
}

// slowness returns the median of the engines of a role's group.
func (m *workMeter) slowness(role fleet.Role) *medianTracker {
	if role == fleet.Prefill {
		return &m.prefillSlowness
	}
	return &m.otherSlowness
}

// workMemory is the time constant with which metered work is forgotten.
const workMemory = 10 * time.Second

// decayingSum is a sum whose parts are forgotten with the time constant workMemory.
type decayingSum struct {
	sum float64
	at  time.Time
}

// add adds a value.
func (d *decayingSum) add(value float64, now time.Time) {
	d.sum = d.level(now) + value
	d.at = now
}

// level returns the sum at a time.
func (d *decayingSum) level(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/workMemory.Seconds())
}
