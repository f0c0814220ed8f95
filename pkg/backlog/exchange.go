package backlog

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// sendEvery is the least time between two messages to one daemon, and
	// cellEvery that between two about a whole cell.
	sendEvery = 40 * time.Millisecond
	cellEvery = 160 * time.Millisecond
	// mostMessages bounds the messages of a second to the near daemons: more of
	// them are told less often.
	mostMessages = 400
	// repeatEvery is the greatest time while something is outstanding.
	repeatEvery = 400 * time.Millisecond
	// silentAfter is how long a daemon's sums count without being repeated.
	silentAfter = 1500 * time.Millisecond
	// messageVersion is the format of the messages.
	messageVersion = 1
)

// Links sends messages to the daemons that this one is linked to.
type Links interface {
	peer.Mesh
	// Linked returns the hosts with an open link.
	Linked() []ident.Host
}

// Options are what an Exchange works with.
type Options struct {
	// Own returns the daemon's own report.
	Own func() Report
	// Heard takes in what another daemon tells besides its sums.
	Heard func(from ident.Host, report *Report)
	// Daemons counts the daemons of the fleet, this one included.
	Daemons func() int
	Log     *slog.Logger
}

// Exchange tells other daemons this one's sums, and adds up theirs.
type Exchange struct {
	opts Options

	mu     sync.RWMutex
	links  Links
	circle Circle
	others map[ident.Host]told
	// totals adds up what others said, by engine.
	totals map[ident.Target]Outstanding
	// linked is the part of the other daemons that is linked, or whose cell's
	// source is, from 0 to 1.
	linked float64
	// news is what the cell's daemons told that the sinks are still to be told.
	news digest
	// own and cell belong to the goroutine of Run.
	own, cell cadence
}

// told is what one daemon said last.
type told struct {
	at   time.Time
	sums []Outstanding
}

// New returns an exchange without links.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, others: make(map[ident.Host]told), linked: 1}
}

// Attach sets the links, before they run.
func (x *Exchange) Attach(links Links) {
	links.Handle(peer.KindBacklog, x.receive)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links = links
}

// SetCircle replaces who tells whom. What daemons said that are in it no more no
// longer counts.
func (x *Exchange) SetCircle(circle Circle) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.circle = circle
	if len(circle.Sinks) == 0 {
		x.news = digest{}
	}
	maps.DeleteFunc(x.others, func(host ident.Host, _ told) bool { return !x.listensTo(host) })
	x.addUp()
}

// listensTo reports whether a daemon's sums count.
func (x *Exchange) listensTo(host ident.Host) bool {
	_, source := x.circle.Sources[host]
	return source || slices.Contains(x.circle.Near, host)
}

// receive takes in what a daemon says.
func (x *Exchange) receive(from ident.Host, message peer.Message) {
	var report Report
	if message.Version > messageVersion {
		return
	}
	if err := peer.Decode(message.Payload, &report); err != nil {
		x.opts.Log.Debug("backlog message skipped", "peer", from, "error", err)
		return
	}
	x.opts.Heard(from, &report)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.listensTo(from) {
		return
	}
	if report.Daemons == 0 && len(x.circle.Sinks) > 0 {
		x.news.add(&report)
	}
	x.others[from] = told{at: time.Now(), sums: report.Outstanding}
	x.addUp()
}

// addUp adds up what the others said.
func (x *Exchange) addUp() {
	x.totals = make(map[ident.Target]Outstanding, len(x.totals))
	for _, other := range x.others {
		addTo(x.totals, other.sums)
	}
}

// addTo adds sums to totals by engine.
func addTo(totals map[ident.Target]Outstanding, sums []Outstanding) {
	for _, sum := range sums {
		total := totals[sum.Target]
		total.Target = sum.Target
		total.Urgent += sum.Urgent
		total.Other += sum.Other
		totals[sum.Target] = total
	}
}

// Elsewhere returns what the other daemons that tell have outstanding at an
// engine.
func (x *Exchange) Elsewhere(target ident.Target) Outstanding {
	x.mu.RLock()
	defer x.mu.RUnlock()
	total := x.totals[target]
	total.Target = target
	return total
}

// Run sends the daemon's sums, and its cell's, until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			x.look(now)
			x.tell(now)
		}
	}
}

// tell sends what is due.
func (x *Exchange) tell(now time.Time) {
	x.mu.RLock()
	links, near, sinks := x.links, x.circle.Near, x.circle.Sinks
	x.mu.RUnlock()
	if links == nil {
		return
	}
	if pace := max(sendEvery, time.Duration(len(near))*time.Second/mostMessages); now.Sub(x.own.lookedAt) >= pace {
		x.own.lookedAt = now
		report := x.opts.Own()
		if len(sinks) > 0 {
			x.gather(&report)
		}
		if x.own.due(&report, now) {
			x.send(links, near, &report)
		}
	}
	if len(sinks) > 0 && now.Sub(x.cell.lookedAt) >= cellEvery {
		x.cell.lookedAt = now
		report := x.cellReport()
		if x.cell.due(&report, now) {
			x.send(links, sinks, &report)
		}
	}
}

// gather has the sinks be told of an own report too.
func (x *Exchange) gather(own *Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.news.addOwn(own)
}

// cellReport returns what the cell has outstanding, and what it told since the
// last time.
func (x *Exchange) cellReport() Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	report := x.news.take()
	report.Daemons = 1
	totals := make(map[ident.Target]Outstanding)
	addTo(totals, report.Outstanding)
	for _, host := range x.circle.Near {
		if other, ok := x.others[host]; ok {
			addTo(totals, other.sums)
			report.Daemons++
		}
	}
	report.Outstanding = slices.SortedFunc(maps.Values(totals), func(a, b Outstanding) int { return cmp.Compare(a.Target, b.Target) })
	return report
}

// look leaves out daemons that have fallen silent, and reckons of which part of
// the others this one is told.
func (x *Exchange) look(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := len(x.others)
	maps.DeleteFunc(x.others, func(_ ident.Host, other told) bool { return now.Sub(other.at) > silentAfter })
	if len(x.others) < known {
		x.addUp()
	}
	if x.links == nil {
		return
	}
	heard := 0
	for _, host := range x.links.Linked() {
		if size, ok := x.circle.Sources[host]; ok {
			heard += size
		} else if slices.Contains(x.circle.Near, host) {
			heard++
		}
	}
	x.linked = min(1, float64(heard)/float64(max(1, x.opts.Daemons()-1)))
}

// Told returns the part of the other daemons that this one is told of, from 0 to
// 1.
func (x *Exchange) Told() float64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.linked
}

// TellsAll reports whether all other daemons hear this one's own reports, so that
// they know of them at once.
func (x *Exchange) TellsAll() bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.linked >= 1 && len(x.circle.Sources) == 0
}

// send tells daemons of a report.
func (x *Exchange) send(links Links, hosts []ident.Host, report *Report) {
	payload, err := peer.EncodeCompact(report)
	if err != nil {
		x.opts.Log.Error("backlog not encoded", "error", err)
		return
	}
	for _, host := range hosts {
		// A link that is gone needs nothing: its daemon leaves this one out.
		_ = links.Send(host, peer.Message{Kind: peer.KindBacklog, Version: messageVersion, Payload: payload})
	}
}
