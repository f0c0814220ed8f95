package shift

import "time"

// figures are what one run is judged by.
type figures struct {
	Deployment, Trace, Policy string
	// Goodput is the work answered in time as a share of the fluid bound.
	Goodput float64
	// Worst is the least share of its offered work that a workspace got; one
	// that floods does not count.
	Worst float64
	// Lookups is the share of lookups and status checks answered in time.
	Lookups float64
	// Interactive and Deferrable are the shares of the offered requests of the
	// class that were answered in time.
	Interactive, Deferrable float64
	// Changes counts role changes.
	Changes int
	// Spend is the price paid for each model request answered in time, in
	// dependable engine seconds.
	Spend float64
	// Cheap is the share of the work done on reclaimable engines, and Harmed
	// counts the requests there that their loss made late.
	Cheap  float64
	Harmed int

	tally *tally
}

// seedOf is the seed of all runs.
const seedOf = 20261203

// measure plays a trace under a policy.
func measure(d *deployment, t *trace, p *policy, flooding bool) figures {
	arrivals := generate(d, t, seedOf, flooding)
	r := newRun(d, t, p, seedOf)
	counted := r.play(arrivals)
	limit := bound(arrivals, r.capacity)
	_, answered := counted.work()
	f := figures{Deployment: d.name, Trace: t.name, Policy: p.name, tally: counted, Changes: counted.changes, Harmed: counted.harmed}
	f.Goodput = answered / limit
	f.Lookups = ratio(counted.byClass[0])
	f.Interactive, f.Deferrable = ratio(counted.byClass[1]), ratio(counted.byClass[2])
	f.Worst = 1
	for w := range counted.workspaces {
		if flooding && w == floodWorkspace && t.flood < never {
			continue
		}
		f.Worst = min(f.Worst, counted.workspaces[w].answeredWork/counted.workspaces[w].offeredWork)
	}
	requests := 0
	for _, k := range d.kinds {
		if c, ok := counted.byKind[k.name]; ok && k.service == "" {
			requests += c.answered
		}
	}
	spend := 0.0
	for _, s := range counted.samples {
		spend += s.spend
	}
	f.Spend = spend / float64(max(1, requests))
	f.Cheap = counted.cheapWork / answered
	return f
}

// ratio is the share of the requests answered in time.
func ratio(c counts) float64 {
	if c.offered == 0 {
		return 1
	}
	return float64(c.answered) / float64(c.offered)
}

// capacity is how many engines were alive in a second of the run; after the
// trace's end it is that of its last second.
func (r *run) capacity(second int) float64 {
	last := int(r.trace.length / time.Second)
	if n := len(r.tally.samples); n > 0 {
		return float64(r.tally.samples[min(second, last, n-1)].engines)
	}
	return 0
}
