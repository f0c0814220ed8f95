package poison

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	// Keep has the evidence on suspect parts kept for a time, also if all daemons end. It must not
	// block, and may be nil.
	Keep func(e *Evidence, d time.Duration)
	// Process is the name of this process, which no other has.
	Process string
	Log     *slog.Logger
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
	refused *prometheus.CounterVec
	// records claims probes. It is nil if there is no store.
	records *Records
	// hashRequests is set while targets ended under requests of late or requests are
	// refused. Otherwise requests are not hashed.
	hashRequests atomic.Bool

	mu    sync.Mutex
	table *Table
	// suspects are the suspect parts that were logged.
	suspects map[uint64]bool
	// suspicions are the requests that are refused.
	suspicions *suspicions
	// pending holds, by Crash.Incarnation, the lost requests at targets that are not
	// known to have ended yet.
	pending map[uint64]*pendingCrash
	// answersReported holds when an answer to a key was last sent to the other daemons or
	// received, in Unix milliseconds.
	answersReported map[Key]int64
}

// New returns a detector without evidence.
func New(opts Options) *Detector {
	d := &Detector{
		opts: opts, table: NewTable(), suspects: make(map[uint64]bool), suspicions: newSuspicions(),
		pending: make(map[uint64]*pendingCrash), answersReported: make(map[Key]int64),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_poison_refusals_total", Help: "Sends that were refused because the request or a part of its prompt is suspect.",
		}, []string{"kind"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(d.refused, d.suspectsGauge(PartKind), d.suspectsGauge(RequestKind))
	}
	return d
}

// suspectsGauge returns the metric of the suspect keys of one kind.
func (d *Detector) suspectsGauge(kind Kind) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthplank_poison_suspects", Help: "Requests and parts of prompts that are suspected of crashing targets.",
		ConstLabels: prometheus.Labels{"kind": kind.String()},
	}, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if kind == RequestKind {
			return float64(d.suspicions.count())
		}
		return float64(len(d.suspects))
	})
}

// Check returns an error if a request must not be sent to a target. It reports whether
// this send is a probe, which must not be repeated and must reach one target only.
func (d *Detector) Check(req *request.Request) (probe bool, err error) {
	if err := d.checkParts(promptOf(req)); err != nil {
		return false, err
	}
	if !d.hashRequests.Load() {
		return false, nil
	}
	return d.checkRequest(uint64(req.Fingerprint()))
}

// checkParts returns an error if a prompt has a suspect part.
func (d *Detector) checkParts(prompt Prompt) error {
	if len(prompt.Parts) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	for _, part := range prompt.Parts {
		if verdict := d.table.Judge(partKey(part), now); verdict.Suspect {
			d.refused.WithLabelValues(PartKind.String()).Inc()
			return fault.New(fault.Unavailable, "targets crashed under requests with a part of this prompt",
				"leave that part out; the same prompt is refused for some time").WithRetryAfter(min(verdict.Until.Sub(now), maxRetryAfter))
		}
	}
	return nil
}

// errSuspectRequest refuses a request under which targets crashed.
var errSuspectRequest = fault.New(fault.Unavailable, "targets crashed under this request each time",
	"change the request; the same one is refused unless a later probe of it is answered").WithRetryAfter(maxRetryAfter)

// checkRequest returns an error if a request is refused, and reports whether it is sent as
// its probe.
func (d *Detector) checkRequest(hash uint64) (bool, error) {
	d.mu.Lock()
	outcome := noProbe
	refused := d.suspicions.has(requestKey(hash))
	if refused {
		outcome = d.suspicions.ask(hash, d.opts.Process, d.opts.Now())
	}
	d.mu.Unlock()
	switch {
	case !refused:
		return false, nil
	case outcome == sendProbe, outcome == claimProbe && d.records != nil && d.records.claim(hash):
		d.opts.Log.Warn("refused request probed", "fingerprint", requestKey(hash).name())
		return true, nil
	}
	d.refused.WithLabelValues(RequestKind.String()).Inc()
	return false, errSuspectRequest
}

// promptOf returns the description of a request's prompt, of which the last part alone is its own,
// without parts if it has none that other requests may have.
func promptOf(req *request.Request) Prompt {
	last := len(req.PartIDs) - 1
	if last < 1 {
		return Prompt{}
	}
	return Prompt{Own: req.PartIDs[last], Parts: req.PartIDs[:last]}
}

// Receive adds the evidence of another daemon, and returns the part that was new.
func (d *Detector) Receive(e *Evidence) Evidence {
	fresh, answers := d.merge(e, false)
	if !answers.empty() {
		d.opts.Send(&answers)
	}
	return fresh
}

// merge adds evidence, of this daemon itself if own is set. It returns the part that was
// new, and what other daemons lack to judge it.
func (d *Detector) merge(e *Evidence, own bool) (fresh, answers Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.noteRequests()
	now := d.opts.Now()
	for _, suspicion := range e.Suspicions[:min(len(e.Suspicions), maxSuspicions)] {
		d.suspect(requestKey(suspicion.Request), min(suspicion.At, now.UnixMilli()), now)
	}
	fresh = d.table.Merge(e, now)
	if fresh.empty() {
		return fresh, answers
	}
	if own {
		d.table.markOwn(fresh.Crashes)
	}
	d.update(&fresh, now, own)
	if own {
		d.keepSuspects(&fresh, now)
	}
	for _, answer := range fresh.Answers {
		d.answersReported[answer.key()] = now.UnixMilli()
	}
	return fresh, d.answersToReport(fresh.Crashes, now)
}

// keepSuspects has the evidence on suspect parts kept, if new crashes are under one. d.mu must be
// held.
func (d *Detector) keepSuspects(fresh *Evidence, now time.Time) {
	if d.opts.Keep == nil || !slices.ContainsFunc(fresh.Crashes, d.underSuspect) {
		return
	}
	suspects, until := d.table.Suspects(now), now
	for key, verdict := range suspects {
		if key.Kind == PartKind && verdict.Until.After(until) {
			until = verdict.Until
		}
	}
	e := d.table.EvidenceOn(suspects)
	d.opts.Keep(&e, until.Sub(now))
}

// underSuspect reports whether a suspect part is in a prompt of a crash. d.mu must be held.
func (d *Detector) underSuspect(c Crash) bool {
	return slices.ContainsFunc(c.keys(), func(key Key) bool { return key.Kind == PartKind && d.suspects[key.Hash] })
}

// SuspectEvidence returns the evidence on what is suspect, and on requests that may
// become so, for a daemon that lacks it.
func (d *Detector) SuspectEvidence() Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.table.EvidenceOn(d.table.Suspects(d.opts.Now()))
	e.Suspicions = d.suspicions.all()
	return e
}

// noteRequests notes whether requests have to be hashed. d.mu must be held.
func (d *Detector) noteRequests() {
	d.hashRequests.Store(d.table.requests > 0 || len(d.suspicions.held) > 0)
}

// Run ends suspicions until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	return clock.Every(ctx, sweepInterval, func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.opts.Now()
		d.table.Prune(now)
		d.suspicions.expire(now)
		d.noteRequests()
		maps.DeleteFunc(d.answersReported, func(_ Key, at int64) bool { return now.UnixMilli()-at > answerReportInterval.Milliseconds() })
		for part := range d.suspects {
			d.updatePart(part, now)
		}
		return nil
	})
}

// update refuses the requests that are suspect by new evidence, and no longer those that
// were answered or whose crashes others explain now. It logs that, and which parts are
// suspect. d.mu must be held.
func (d *Detector) update(e *Evidence, now time.Time, own bool) {
	for i := range e.Crashes {
		for _, key := range e.Crashes[i].keys() {
			if key.Kind == PartKind {
				d.updatePart(key.Hash, now)
			} else if verdict := d.table.Judge(key, now); verdict.Suspect {
				d.suspect(key, verdict.Newest, now)
			}
		}
	}
	for i := range e.Answers {
		key := e.Answers[i].key()
		if key.Kind == PartKind {
			d.updatePart(key.Hash, now)
		} else if d.suspicions.answered(key.Hash, d.table.answered[key], now, own) {
			d.opts.Log.Info("request no longer suspected", "fingerprint", key.name(), "reason", "answered")
		}
	}
	if len(e.Crashes) > 0 {
		d.reconsider(now, own)
	}
}

// reconsider ends the suspicions of requests that only shared their targets with another
// one, which has ended more by now. d.mu must be held.
func (d *Detector) reconsider(now time.Time, own bool) {
	for hash := range d.suspicions.held {
		key := requestKey(hash)
		if verdict := d.table.Judge(key, now); d.suspicions.has(key) && verdict.Crashes >= requestCrashes && !verdict.Suspect {
			d.suspicions.drop(hash, now, own)
			d.opts.Log.Info("request no longer suspected", "fingerprint", key.name(), "reason", "explained")
		}
	}
}

// suspect refuses a request from now on, unless it was answered since its last crash, which
// was at a time. The daemon that noticed that one writes the record. d.mu must be held.
func (d *Detector) suspect(key Key, at int64, now time.Time) {
	if d.table.answered[key] >= at {
		return
	}
	crashes := d.table.crashesOf(key)
	own := slices.ContainsFunc(crashes, func(c *crash) bool { return c.own && c.at >= at })
	if d.suspicions.add(key.Hash, at, now, own) {
		d.opts.Log.Warn("request suspected", "fingerprint", key.name(), "from", "crashes", "at", time.UnixMilli(at), "crashes", len(crashes))
	}
}

// updatePart logs the beginning or the end of a part's suspicion. d.mu must be held.
func (d *Detector) updatePart(part uint64, now time.Time) {
	key := partKey(part)
	verdict, logged := d.table.Judge(key, now), d.suspects[part]
	switch {
	case verdict.Suspect && !logged && len(d.suspects) < maxSuspects:
		d.suspects[part] = true
		d.opts.Log.Warn("prompt part suspected", "part", key.name(), "crashes", verdict.Crashes, "until", verdict.Until)
	case !verdict.Suspect && logged:
		delete(d.suspects, part)
		d.opts.Log.Info("prompt part no longer suspected", "part", key.name(), "cleared", verdict.Until.IsZero())
	}
}
