package dissemination

import (
	"fmt"
	"time"
)

// result holds the measurements of one simulation.
type result struct {
	// sent is the mean of the bytes that a daemon sends per second, worst the
	// most that one daemon sent or received.
	sent, worst float64
	// changes are the times until a change had reached every live daemon.
	changes []time.Duration
	// p50, p99 and slowest are the times until a bundle arrived at a daemon,
	// repairs included.
	p50, p99, slowest time.Duration
	gaps              int
}

func (r *result) worstChange() time.Duration {
	var worst time.Duration
	for _, d := range r.changes {
		worst = max(worst, d)
	}
	return worst
}

func (r *result) String() string {
	return fmt.Sprintf("%7.0f %7.0f %7v %7v %7v %7v %6d", r.sent, r.worst, r.p50, r.p99, r.slowest, r.worstChange(), r.gaps)
}

const (
	// warmup is not measured: it includes the first exchange of item names.
	warmup = 20 * time.Second
	// changeInterval is the time between changes of the configuration.
	changeInterval = 5 * time.Second
	// restartPause is how long a restarted host is down.
	restartPause = 3 * time.Second
)

// scenario is the faults of a simulation.
type scenario struct {
	loss        float64
	restarts    float64
	partitioned bool
}

// measure simulates a scenario for the given time.
func measure(f *fleet, s scenario, length time.Duration) result {
	f.loss = s.loss
	f.run(warmup)
	for _, n := range f.nodes {
		n.sent, n.got = 0, 0
	}
	f.delays.Reset()
	gaps := f.gaps()
	f.scheduleFaults(s, length)
	var r result
	began := f.now
	for round := 1; f.now.Sub(began) < length; round++ {
		r.changes = append(r.changes, f.measureChange(uint64(round)))
	}
	seconds := f.now.Sub(began).Seconds()
	for _, n := range f.nodes {
		r.sent += float64(n.sent) / seconds / float64(len(f.nodes))
		r.worst = max(r.worst, float64(max(n.sent, n.got))/seconds)
	}
	ms := func(q float64) time.Duration { return time.Duration(f.delays.ValueAtQuantile(q)) * time.Millisecond }
	r.p50, r.p99, r.slowest = ms(50), ms(99), ms(100)
	r.gaps = f.gaps() - gaps
	return r
}

// scheduleFaults schedules the restarts of hosts and the network partition.
func (f *fleet) scheduleFaults(s scenario, length time.Duration) {
	restarts := int(s.restarts*float64(len(f.nodes)) + 0.5)
	for _, i := range f.random.Perm(len(f.nodes))[:restarts] {
		at := time.Duration(f.random.Int64N(int64(length)))
		f.schedule(at, func() { f.kill(i, restartPause) })
	}
	if s.partitioned {
		f.schedule(length/4, func() { f.partition(len(f.nodes) / 2) })
		f.schedule(length/2, func() { f.partition(0) })
	}
}

func (f *fleet) gaps() int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.Gaps()
	}
	return sum
}

// measureChange publishes a revision at a live daemon and returns the longest
// time until it reached a live daemon of its group, counted from the start of
// that daemon if it started later. It simulates until the next change is due.
func (f *fleet) measureChange(revision uint64) time.Duration {
	i := f.random.IntN(len(f.nodes))
	for f.nodes[i].down {
		i = (i + 1) % len(f.nodes)
	}
	n := f.nodes[i]
	n.Publish(Key{Section: SectionRevisions}, []byte{byte(revision >> 8), byte(revision)}, true)
	began, origin, version := f.now, n.self, n.version+1
	var worst time.Duration
	missing := make(map[int]bool)
	for j := range f.nodes {
		missing[j] = true
	}
	for f.now.Sub(began) < changeInterval {
		f.step()
		for j := range missing {
			m := f.nodes[j]
			if f.group[j] != f.group[i] {
				delete(missing, j)
			}
			if !m.down && m.hasRevision(origin, version) {
				since := began
				if m.startedAt.After(began) {
					since = m.startedAt
				}
				worst = max(worst, f.now.Sub(since))
				delete(missing, j)
			}
		}
	}
	for j := range missing {
		if m := f.nodes[j]; !m.down && f.group[j] == f.group[i] {
			worst = max(worst, min(f.now.Sub(m.startedAt), changeInterval))
		}
	}
	return worst
}

// hasRevision reports whether a change has arrived, whatever else is missing.
func (n *fleetNode) hasRevision(id OriginID, version Version) bool {
	o := n.origins[id]
	if o == nil {
		return false
	}
	for _, state := range o.items {
		if state.key.Section == SectionRevisions {
			return state.version >= version
		}
	}
	return false
}
