package shift

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// daemonCount is how many daemons serve a deployment.
	daemonCount = 8
	// eventsEvery is the time between an engine's batches of cache events.
	eventsEvery = time.Second
	// eventLoss is the part of the batches that a daemon never gets.
	eventLoss = 0.03
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 300 * time.Second
	// settleTime is left out of the figures: memories are empty at the start.
	settleTime = 20 * time.Second
)

// run is one trace under one policy.
type run struct {
	sim        *simulator
	deployment *deployment
	trace      *trace
	policy     *policy
	seed       uint64
	knobs      config.Knobs
	random     *rand.Rand

	engines   []*engine
	replicas  []*replica
	daemons   []*daemon
	exchanged [daemonCount]map[ident.Workspace]admission.Consumption
	byName    map[ident.Target]*engine
	control   *control
	tally     *tally
}

// newRun prepares a run.
func newRun(d *deployment, t *trace, p *policy, seed uint64) *run {
	r := &run{
		sim: &simulator{}, deployment: d, trace: t, policy: p, seed: seed, knobs: config.BuiltinKnobs(),
		random: rand.New(rand.NewPCG(seed, 77)), byName: make(map[ident.Target]*engine), tally: newTally(d),
	}
	if p.change != nil {
		p.change(&r.knobs)
	}
	for i := range d.engines {
		kind := external.Dependable
		if i >= d.dependable && !p.allDependable {
			kind = external.Reclaimable
		}
		r.addEngine(d.domains[i%len(d.domains)], kind)
	}
	for i := range d.replicas {
		r.replicas = append(r.replicas, &replica{sim: r.sim, record: external.TargetRecord{
			Target: ident.Target(fmt.Sprintf("service-%02d", i)), Service: d.service,
			FailureDomain: d.domains[i%len(d.domains)], Kind: external.Dependable,
		}})
	}
	for i := range daemonCount {
		r.daemons = append(r.daemons, newDaemon(r, i))
	}
	r.control = newControl(r)
	return r
}

// addEngine starts an engine now.
func (r *run) addEngine(domain ident.FailureDomain, kind external.TargetKind) {
	e := &engine{sim: r.sim, born: r.sim.now, record: external.TargetRecord{
		Target: ident.Target(fmt.Sprintf("engine-%02d", len(r.engines))), Model: r.deployment.model,
		FailureDomain: domain, Kind: kind,
	}}
	e.start(fleet.Mixed)
	r.engines = append(r.engines, e)
	r.byName[e.record.Target] = e
}

// engineNamed returns an engine.
func (r *run) engineNamed(name ident.Target) *engine { return r.byName[name] }

// replicaNamed returns a replica.
func (r *run) replicaNamed(name ident.Target) *replica {
	for _, p := range r.replicas {
		if p.record.Target == name {
			return p
		}
	}
	return nil
}

// weight returns a workspace's weight.
func (r *run) weight(workspace ident.Workspace) float64 {
	var n int
	if _, err := fmt.Sscanf(string(workspace), "workspace-%d", &n); err != nil {
		return 1
	}
	return r.deployment.sizes[n]
}

// play runs the arrivals and returns the figures.
func (r *run) play(arrivals []*arrival) *tally {
	end := r.trace.length + drainTime
	for _, a := range arrivals {
		at := r.random.IntN(daemonCount)
		r.sim.at(a.at, func() {
			r.tally.offer(a)
			r.daemons[at].receive(a)
		})
	}
	r.sim.every(0, reportEvery, end, func() {
		for _, e := range r.engines {
			e.report()
		}
	})
	for _, d := range r.daemons {
		r.sim.every(time.Duration(d.number)*30*time.Millisecond, viewEvery, end, func() { d.view.refresh(r) })
	}
	r.sim.every(0, exchangeEvery, end, r.exchange)
	r.sim.every(0, eventsEvery, end, r.publish)
	r.sim.every(0, time.Second, r.trace.length, r.sample)
	r.plan()
	r.control.start()
	r.sim.run()
	return r.tally
}

// publish sends every engine's cache events, late and with gaps.
func (r *run) publish() {
	for _, e := range r.engines {
		if !e.alive || len(e.memory.pending) == 0 {
			continue
		}
		events := e.memory.pending
		e.memory.pending = nil
		for _, d := range r.daemons {
			late := time.Duration((0.2 + 1.8*r.random.Float64()) * float64(time.Second))
			if r.random.Float64() < eventLoss {
				continue
			}
			r.sim.after(late, func() { d.event(e.record.Target, events) })
		}
	}
}

// sample notes the state for the plots and the spend.
func (r *run) sample() {
	s := sample{at: r.sim.now}
	for _, e := range r.engines {
		if !e.alive {
			continue
		}
		s.engines++
		s.spend += price(e.record.Kind, &r.knobs)
		switch e.role {
		case fleet.Prefill:
			s.prefill++
		case fleet.Decode:
			s.decode++
		case fleet.Mixed:
		}
	}
	r.tally.samples = append(r.tally.samples, s)
}

// price is what a target costs beside a dependable one.
func price(kind external.TargetKind, knobs *config.Knobs) float64 {
	if kind == external.Reclaimable {
		return knobs.Supply.ReclaimablePrice
	}
	return 1
}

// reclaimable reports whether the platform may take the engine back.
func (e *engine) reclaimable() bool { return e.record.Kind == external.Reclaimable }
