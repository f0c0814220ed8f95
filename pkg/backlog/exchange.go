package backlog

import (
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
	// sendEvery is the least time between two messages.
	sendEvery = 40 * time.Millisecond
	// repeatEvery is the greatest while something is outstanding.
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
	others map[ident.Host]told
	// totals adds up what others said, by engine.
	totals map[ident.Target]Outstanding
	// linked is the part of the other daemons that is linked, from 0 to 1.
	linked float64
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
	x.others[from] = told{at: time.Now(), sums: report.Outstanding}
	x.addUp()
}

// addUp adds up what the others said.
func (x *Exchange) addUp() {
	totals := make(map[ident.Target]Outstanding, len(x.totals))
	for _, other := range x.others {
		for _, sum := range other.sums {
			total := totals[sum.Target]
			total.Target = sum.Target
			total.Urgent += sum.Urgent
			total.Other += sum.Other
			totals[sum.Target] = total
		}
	}
	x.totals = totals
}

// Elsewhere returns what the linked daemons have outstanding at an engine.
func (x *Exchange) Elsewhere(target ident.Target) Outstanding {
	x.mu.RLock()
	defer x.mu.RUnlock()
	total := x.totals[target]
	total.Target = target
	return total
}

// Run sends the daemon's sums until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	var last []Outstanding
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			x.look(now)
			own := x.opts.Own()
			same := len(own.Placed)+len(own.Away) == 0 && slices.Equal(own.Outstanding, last)
			if same && (len(last) == 0 || now.Sub(sentAt) < repeatEvery) {
				continue
			}
			x.send(&own)
			last, sentAt = own.Outstanding, now
		}
	}
}

// look leaves out daemons that have fallen silent, and reckons which part of the
// others is linked.
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
	x.linked = min(1, float64(len(x.links.Linked()))/float64(max(1, x.opts.Daemons()-1)))
}

// Told returns the part of the other daemons that this one is linked to, from 0
// to 1.
func (x *Exchange) Told() float64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.linked
}

// send tells every linked daemon.
func (x *Exchange) send(own *Report) {
	x.mu.RLock()
	links := x.links
	x.mu.RUnlock()
	if links == nil {
		return
	}
	payload, err := peer.EncodeCompact(own)
	if err != nil {
		x.opts.Log.Error("backlog not encoded", "error", err)
		return
	}
	for _, host := range links.Linked() {
		// A link that is gone needs nothing: its daemon leaves this one out.
		_ = links.Send(host, peer.Message{Kind: peer.KindBacklog, Version: messageVersion, Payload: payload})
	}
}
