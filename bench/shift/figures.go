package shift

import "time"

// figures are the results of one run.
type figures struct {
	Deployment, Trace, Policy string
	// Goodput is the work answered in time as a share of the fluid bound.
	Goodput float64
	// WorstWorkspace is the least share, over the workspaces, of the offered work
	// that was answered in time. A workspace that floods is left out.
	WorstWorkspace float64
	// Lookups, Interactive and Deferrable are the shares of the offered requests of
	// each class that were answered in time.
	Lookups, Interactive, Deferrable float64
	// Changes counts the role changes that were started.
	Changes int
	// Spend is the price paid for each model request answered in time, in
	// dependable engine seconds.
	Spend float64
	// ReclaimableShare is the share of the work answered in time whose requests
	// were sent to reclaimable engines. MissedAfterLoss counts the requests sent
	// there that had an attempt fail and were not answered in time.
	ReclaimableShare float64
	MissedAfterLoss  int

	tally *tally
}

// runSeed is the seed of all runs.
const runSeed = 20261203

// measure simulates a trace under a policy and returns the figures.
func measure(d *deployment, t *trace, p *policy, flooding bool) figures {
	arrivals := generate(d, t, runSeed, flooding)
	r := newRun(d, t, p, runSeed)
	tally := r.simulate(arrivals)
	bound := fluidBound(arrivals, r.capacity)
	_, answered := tally.totalWork()
	f := figures{Deployment: d.name, Trace: t.name, Policy: p.name, tally: tally, Changes: tally.roleChanges, MissedAfterLoss: tally.missedAfterLoss}
	f.Goodput = answered / bound
	f.Lookups = answeredShare(tally.byClass[0])
	f.Interactive, f.Deferrable = answeredShare(tally.byClass[1]), answeredShare(tally.byClass[2])
	f.WorstWorkspace = 1
	for w := range tally.workspaces {
		if flooding && w == floodWorkspace && t.flood < never {
			continue
		}
		f.WorstWorkspace = min(f.WorstWorkspace, tally.workspaces[w].answeredWork/tally.workspaces[w].offeredWork)
	}
	requests := 0
	for _, k := range d.kinds {
		if c, ok := tally.byKind[k.name]; ok && k.service == "" {
			requests += c.answered
		}
	}
	spend := 0.0
	for _, s := range tally.samples {
		spend += s.spend
	}
	f.Spend = spend / float64(max(1, requests))
	f.ReclaimableShare = tally.reclaimableWork / answered
	return f
}

// answeredShare returns the share of the offered requests that were answered in
// time, 1 if there were none.
func answeredShare(c counts) float64 {
	if c.offered == 0 {
		return 1
	}
	return float64(c.answered) / float64(c.offered)
}

// capacity returns the number of engines that were alive in a second of the run;
// after the trace's end, that of its last second.
func (r *run) capacity(second int) float64 {
	last := int(r.trace.length / time.Second)
	if n := len(r.tally.samples); n > 0 {
		return float64(r.tally.samples[min(second, last, n-1)].engines)
	}
	return 0
}
