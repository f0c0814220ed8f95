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
	// minSendInterval is the least time between two messages to one daemon, and
	// minCellInterval that between two reports of a cell.
	minSendInterval = 40 * time.Millisecond
	minCellInterval = 160 * time.Millisecond
	// maxMessageRate bounds the messages per second to the neighbors. With more
	// neighbors, each receives reports less often.
	maxMessageRate = 400
	// repeatInterval is the time after which an unchanged report is sent again
	// while prompts are outstanding.
	repeatInterval = 400 * time.Millisecond
	// staleAfter is how long a daemon's sums stay in the totals after its last
	// report.
	staleAfter = 1500 * time.Millisecond
	// messageVersion is the version of the message format.
	messageVersion = 1
)

// Links sends messages to the daemons with an open link to this one.
type Links interface {
	peer.Mesh
	// Linked returns the hosts with an open link.
	Linked() []ident.Host
}

// Options configure an Exchange.
type Options struct {
	// LocalReport returns the daemon's own report, whose content is sent to a number of
	// other daemons.
	LocalReport func(receivers int) Report
	// OnReport is called with every report received. The exchange itself adds up
	// the sums and forwards the rest to the sinks.
	OnReport func(from ident.Host, report *Report)
	// Daemons counts the daemons of the fleet, this one included.
	Daemons func() int
	Log     *slog.Logger
}

// Exchange sends the daemon's outstanding sums to other daemons and adds up the
// sums that it receives.
type Exchange struct {
	opts Options

	mu       sync.RWMutex
	links    Links
	topology Topology
	reports  map[ident.Host]receivedReport
	// totals is the sum of the received reports by target.
	totals map[ident.Target]Outstanding
	// coverage is the share, from 0 to 1, of the other daemons that have a link to
	// this one or whose cell's source has one.
	coverage float64
	// buffered holds what the cell's daemons reported and was not sent to the sinks
	// yet.
	buffered cellBuffer
	// ownSchedule and cellSchedule are used only by the goroutine of Run.
	ownSchedule, cellSchedule sendSchedule
}

// receivedReport holds the sums of a daemon's latest report.
type receivedReport struct {
	receivedAt  time.Time
	outstanding []Outstanding
}

// New returns an exchange without links; Attach sets them.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, reports: make(map[ident.Host]receivedReport), coverage: 1}
}

// Attach sets the links. It must be called before the links run.
func (x *Exchange) Attach(links Links) {
	links.Handle(peer.KindBacklog, x.receive)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links = links
}

// SetTopology replaces the topology. The reports of daemons that are no longer
// neighbors or sources are dropped.
func (x *Exchange) SetTopology(topology Topology) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.topology = topology
	if len(topology.Sinks) == 0 {
		x.buffered = cellBuffer{}
	}
	maps.DeleteFunc(x.reports, func(host ident.Host, _ receivedReport) bool { return !x.acceptsFrom(host) })
	x.recomputeTotals()
}

// acceptsFrom reports whether a daemon is a neighbor or a source, so that its sums
// are added to the totals.
func (x *Exchange) acceptsFrom(host ident.Host) bool {
	_, source := x.topology.Sources[host]
	return source || slices.Contains(x.topology.Neighbors, host)
}

// receive handles a message from another daemon.
func (x *Exchange) receive(from ident.Host, message peer.Message) {
	var report Report
	if message.Version > messageVersion {
		return
	}
	if err := peer.Decode(message.Payload, &report); err != nil {
		x.opts.Log.Debug("backlog message skipped", "peer", from, "error", err)
		return
	}
	x.opts.OnReport(from, &report)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.acceptsFrom(from) {
		return
	}
	if report.Daemons == 0 && len(x.topology.Sinks) > 0 {
		x.buffered.add(&report)
	}
	x.reports[from] = receivedReport{receivedAt: time.Now(), outstanding: report.Outstanding}
	x.recomputeTotals()
}

// recomputeTotals adds up the received reports.
func (x *Exchange) recomputeTotals() {
	x.totals = make(map[ident.Target]Outstanding, len(x.totals))
	for _, other := range x.reports {
		addOutstanding(x.totals, other.outstanding)
	}
}

// addOutstanding adds sums to the totals by target.
func addOutstanding(totals map[ident.Target]Outstanding, outstanding []Outstanding) {
	for _, sum := range outstanding {
		total := totals[sum.Target]
		total.Target = sum.Target
		total.Urgent += sum.Urgent
		total.Other += sum.Other
		total.Requests += sum.Requests
		totals[sum.Target] = total
	}
}

// RemoteOutstanding returns the sum of what the other daemons reported as
// outstanding at a target.
func (x *Exchange) RemoteOutstanding(target ident.Target) Outstanding {
	x.mu.RLock()
	defer x.mu.RUnlock()
	total := x.totals[target]
	total.Target = target
	return total
}

// Run sends the reports of the daemon and of its cell until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(minSendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			x.refresh(now)
			x.sendDue(now)
		}
	}
}

// sendDue sends the reports that are due.
func (x *Exchange) sendDue(now time.Time) {
	x.mu.RLock()
	links, neighbors, sinks := x.links, x.topology.Neighbors, x.topology.Sinks
	x.mu.RUnlock()
	if links == nil {
		return
	}
	if interval := max(minSendInterval, time.Duration(len(neighbors))*time.Second/maxMessageRate); now.Sub(x.ownSchedule.checkedAt) >= interval {
		x.ownSchedule.checkedAt = now
		report := x.opts.LocalReport(len(neighbors) + len(sinks))
		if len(sinks) > 0 {
			x.bufferOwn(&report)
		}
		if x.ownSchedule.due(&report, now) {
			x.send(links, neighbors, &report)
		}
	}
	if len(sinks) > 0 && now.Sub(x.cellSchedule.checkedAt) >= minCellInterval {
		x.cellSchedule.checkedAt = now
		report := x.cellReport(len(sinks), now)
		if x.cellSchedule.due(&report, now) {
			x.send(links, sinks, &report)
		}
	}
}

// bufferOwn adds the daemon's own report to the buffer for the sinks.
func (x *Exchange) bufferOwn(own *Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.buffered.addOwn(own)
}

// cellReport returns the cell's outstanding sums with the prompts and targets
// buffered since the last call, for a number of sinks.
func (x *Exchange) cellReport(sinks int, now time.Time) Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	report := x.buffered.flush(sinks, now)
	report.Daemons = 1
	totals := make(map[ident.Target]Outstanding)
	addOutstanding(totals, report.Outstanding)
	for _, host := range x.topology.Neighbors {
		if other, ok := x.reports[host]; ok {
			addOutstanding(totals, other.outstanding)
			report.Daemons++
		}
	}
	report.Outstanding = slices.SortedFunc(maps.Values(totals), func(a, b Outstanding) int { return cmp.Compare(a.Target, b.Target) })
	return report
}

// refresh drops the reports of daemons that stopped sending, and updates the
// coverage.
func (x *Exchange) refresh(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := len(x.reports)
	maps.DeleteFunc(x.reports, func(_ ident.Host, other receivedReport) bool { return now.Sub(other.receivedAt) > staleAfter })
	if len(x.reports) < known {
		x.recomputeTotals()
	}
	if x.links == nil {
		return
	}
	covered := 0
	for _, host := range x.links.Linked() {
		if size, ok := x.topology.Sources[host]; ok {
			covered += size
		} else if slices.Contains(x.topology.Neighbors, host) {
			covered++
		}
	}
	x.coverage = min(1, float64(covered)/float64(max(1, x.opts.Daemons()-1)))
}

// Coverage returns the share, from 0 to 1, of the other daemons whose sums reach
// this one, directly or through their cell's source.
func (x *Exchange) Coverage() float64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.coverage
}

// ReachesAllDirectly reports whether this daemon has a direct link to every other
// one, so that its reports reach them without the delay of a cell's source.
func (x *Exchange) ReachesAllDirectly() bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.coverage >= 1 && len(x.topology.Sources) == 0
}

// send sends a report to daemons.
func (x *Exchange) send(links Links, hosts []ident.Host, report *Report) {
	payload, err := peer.EncodeCompact(report)
	if err != nil {
		x.opts.Log.Error("backlog message not encoded", "error", err)
		return
	}
	for _, host := range hosts {
		// Send fails without a link. Nothing is retried: the other daemon drops
		// this one's sums after staleAfter.
		_ = links.Send(host, peer.Message{Kind: peer.KindBacklog, Version: messageVersion, Payload: payload})
	}
}
