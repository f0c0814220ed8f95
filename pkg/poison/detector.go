package poison

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Options configure a Detector.
type Options struct {
	// Now returns the time of the day.
	Now func() time.Time
	// Incarnation returns the current incarnation of a target, or false if the target is
	// not known.
	Incarnation func(ident.Target) (ident.Incarnation, bool)
	// Dial connects to a target. It fails if the target has ended.
	Dial target.Dial
	// Send sends evidence to the other daemons. It must not block.
	Send func(e *Evidence)
	Log  *slog.Logger
	// Registerer registers the metrics; if nil, they are not registered.
	Registerer prometheus.Registerer
}

const (
	// sweepInterval is the time between two checks for suspicions that have ended.
	sweepInterval = time.Second
	// maxRetryAfter bounds the Retry-After of refused requests.
	maxRetryAfter = 30 * time.Second
	// maxSuspects bounds the suspicions that are logged.
	maxSuspects = 256
)

// Detector decides which requests are refused. Its methods may be called at the same
// time.
type Detector struct {
	opts    Options
	refused prometheus.Counter

	mu    sync.Mutex
	table *Table
	// suspects are the suspect parts that were logged.
	suspects map[uint64]bool
	// pending holds, by Crash.Incarnation, the lost requests at targets that are not
	// known to have ended yet.
	pending map[uint64]*pendingCrash
	// answersReported holds when an answer to a prompt with a part was last sent to the other
	// daemons or received, in Unix milliseconds.
	answersReported map[uint64]int64
}

// New returns a detector without evidence.
func New(opts Options) *Detector {
	d := &Detector{
		opts: opts, table: NewTable(), suspects: make(map[uint64]bool), pending: make(map[uint64]*pendingCrash), answersReported: make(map[uint64]int64),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_poison_refusals_total", Help: "Sends that were refused because of a suspect part of the prompt.",
		}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(d.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "amaranthplank_poison_suspects", Help: "Parts of prompts that are suspected of crashing targets.",
		}, d.countSuspects))
	}
	return d
}

// countSuspects returns the number of suspect parts.
func (d *Detector) countSuspects() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(len(d.suspects))
}

// Check returns an error if a request must not be sent to a target.
func (d *Detector) Check(req *request.Request) error {
	prompt, ok := promptOf(req)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	for _, part := range prompt.Parts {
		if verdict := d.table.Judge(part, now); verdict.Suspect {
			d.refused.Inc()
			return fault.New(fault.Unavailable, "targets crashed under requests with a part of this prompt",
				"leave that part out; the same prompt is refused for some time").WithRetryAfter(min(verdict.Until.Sub(now), maxRetryAfter))
		}
	}
	return nil
}

// promptOf returns the description of a request's prompt, or false if it has no part
// that other requests may have.
func promptOf(req *request.Request) (Prompt, bool) {
	last := len(req.PartIDs) - 1
	if last < 1 {
		return Prompt{}, false
	}
	return Prompt{Own: req.PartIDs[last], Parts: req.PartIDs[:min(last, maxParts)]}, true
}

// Receive adds the evidence of another daemon, and returns the part that was new.
func (d *Detector) Receive(e *Evidence) Evidence {
	fresh, answers := d.merge(e)
	if !answers.empty() {
		d.opts.Send(&answers)
	}
	return fresh
}

// merge adds evidence. It returns the part that was new, and what other daemons lack
// to judge it.
func (d *Detector) merge(e *Evidence) (fresh, answers Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	fresh = d.table.Merge(e, now)
	if fresh.empty() {
		return fresh, answers
	}
	d.update(&fresh, now)
	for _, answer := range fresh.Answers {
		d.answersReported[answer.Part] = now.UnixMilli()
	}
	return fresh, d.answersToReport(fresh.Crashes, now)
}

// SuspectEvidence returns the evidence on the parts that are suspect, for a daemon
// that lacks it.
func (d *Detector) SuspectEvidence() Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.EvidenceOn(d.table.Suspects(d.opts.Now()))
}

// Run ends suspicions until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	return clock.Every(ctx, sweepInterval, func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.opts.Now()
		d.table.Prune(now)
		maps.DeleteFunc(d.answersReported, func(_ uint64, at int64) bool { return now.UnixMilli()-at > answerReportInterval.Milliseconds() })
		for part := range d.suspects {
			d.updatePart(part, now)
		}
		return nil
	})
}

// update logs which of the parts in new evidence are suspect now, and which are no
// longer. d.mu must be held.
func (d *Detector) update(e *Evidence, now time.Time) {
	for _, crash := range e.Crashes {
		for _, prompt := range crash.Lost {
			for _, part := range prompt.Parts {
				d.updatePart(part, now)
			}
		}
	}
	for _, answer := range e.Answers {
		d.updatePart(answer.Part, now)
	}
}

// updatePart logs the beginning or the end of a part's suspicion. d.mu must be held.
func (d *Detector) updatePart(part uint64, now time.Time) {
	verdict, logged := d.table.Judge(part, now), d.suspects[part]
	switch {
	case verdict.Suspect && !logged && len(d.suspects) < maxSuspects:
		d.suspects[part] = true
		d.opts.Log.Warn("prompt part suspected", "part", partName(part), "crashes", verdict.Crashes, "until", verdict.Until)
	case !verdict.Suspect && logged:
		delete(d.suspects, part)
		d.opts.Log.Info("prompt part no longer suspected", "part", partName(part), "cleared", verdict.Until.IsZero())
	}
}

// partName returns a part's hash for the log.
func partName(part uint64) string { return fmt.Sprintf("%016x", part) }
