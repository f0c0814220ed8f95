package dissemination

import (
	"fmt"
	"time"
)

// result is what one run of a candidate showed.
type result struct {
	// sent and got are bytes per daemon and second; the worst is the most
	// that one daemon sent or got.
	sent, worst float64
	// changes are the times until a change was known to every live daemon.
	changes []time.Duration
	// p50, p99 and most are bundles' times to every daemon, repairs included.
	p50, p99, most time.Duration
	gaps           int
}

func (r *result) worstChange() time.Duration {
	var worst time.Duration
	for _, d := range r.changes {
		worst = max(worst, d)
	}
	return worst
}

func (r *result) String() string {
	return fmt.Sprintf("%7.0f %7.0f %7v %7v %7v %7v %6d", r.sent, r.worst, r.p50, r.p99, r.most, r.worstChange(), r.gaps)
}

const (
	// warmup is left out of the figures: it holds the first exchange of names.
	warmup = 20 * time.Second
	// between is the time between changes of the configuration.
	between = 5 * time.Second
	// restartPause is how long a restarted host is down.
	restartPause = 3 * time.Second
)

// scenario is the faults that a run meets.
type scenario struct {
	name     string
	loss     float64
	restarts float64
	parted   bool
}

// measure runs a fleet through a scenario for the given time.
func measure(f *fleet, s scenario, length time.Duration) result {
	f.loss = s.loss
	f.run(warmup)
	for _, n := range f.nodes {
		n.sent, n.got = 0, 0
	}
	f.delay.Reset()
	gaps := f.gaps()
	f.plan(s, length)
	var r result
	began := f.now
	for round := 1; f.now.Sub(began) < length; round++ {
		r.changes = append(r.changes, f.change(uint64(round)))
	}
	seconds := f.now.Sub(began).Seconds()
	for _, n := range f.nodes {
		r.sent += float64(n.sent) / seconds / float64(len(f.nodes))
		r.worst = max(r.worst, float64(max(n.sent, n.got))/seconds)
	}
	ms := func(q float64) time.Duration { return time.Duration(f.delay.ValueAtQuantile(q)) * time.Millisecond }
	r.p50, r.p99, r.most = ms(50), ms(99), ms(100)
	r.gaps = f.gaps() - gaps
	return r
}

// plan sets when hosts restart and the fleet parts.
func (f *fleet) plan(s scenario, length time.Duration) {
	restarts := int(s.restarts*float64(len(f.nodes)) + 0.5)
	for _, i := range f.random.Perm(len(f.nodes))[:restarts] {
		at := time.Duration(f.random.Int64N(int64(length)))
		f.after(at, func() { f.kill(i, restartPause) })
	}
	if s.parted {
		f.after(length/4, func() { f.part(len(f.nodes) / 2) })
		f.after(length/2, func() { f.part(0) })
	}
}

func (f *fleet) gaps() int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.Gaps()
	}
	return sum
}

// change publishes a revision at a live daemon and returns the time until every
// live daemon on its side knew it, counted from its own start where that came
// later. The run goes on for the time between changes.
func (f *fleet) change(revision uint64) time.Duration {
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
	for f.now.Sub(began) < between {
		f.step()
		for j := range missing {
			m := f.nodes[j]
			if f.side[j] != f.side[i] {
				delete(missing, j)
			}
			if !m.down && m.knows(origin, version) {
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
		if m := f.nodes[j]; !m.down && f.side[j] == f.side[i] {
			worst = max(worst, min(f.now.Sub(m.startedAt), between))
		}
	}
	return worst
}

// knows reports whether a change has come, whatever else is missing.
func (n *fleetNode) knows(id OriginID, version Version) bool {
	o := n.origins[id]
	if o == nil {
		return false
	}
	for _, h := range o.items {
		if h.key.Section == SectionRevisions {
			return h.version >= version
		}
	}
	return false
}
