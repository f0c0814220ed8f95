package backlog

import (
	"context"
	"log/slog"
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
	Heard func(report *Report)
	// Daemons counts the daemons of the fleet, this one included. Where not all
	// are linked, what the linked ones tell stands for the others too.
	Daemons func() int
	Log     *slog.Logger
}

// Exchange tells other daemons this one's sums, and adds up theirs.
type Exchange struct {
	opts Options

	mu     sync.RWMutex
	links  Links
	others map[ident.Host]told
	// factor is how many daemons each linked one stands for.
	factor float64
}

// told is what one daemon said last.
type told struct {
	at   time.Time
	sums map[ident.Target]Outstanding
}

// New returns an exchange without links.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, others: make(map[ident.Host]told), factor: 1}
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
	sums := make(map[ident.Target]Outstanding, len(report.Outstanding))
	for _, sum := range report.Outstanding {
		sums[sum.Target] = sum
	}
	if len(report.Placed)+len(report.Away) > 0 {
		x.opts.Heard(&report)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.others[from] = told{at: time.Now(), sums: sums}
}

// Elsewhere returns what the other daemons have outstanding at an engine.
func (x *Exchange) Elsewhere(target ident.Target) Outstanding {
	total := Outstanding{Target: target}
	now := time.Now()
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, other := range x.others {
		if now.Sub(other.at) > silentAfter {
			continue
		}
		sum := other.sums[target]
		total.Urgent += sum.Urgent
		total.Other += sum.Other
	}
	total.Urgent *= x.factor
	total.Other *= x.factor
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
			x.weigh()
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

// weigh reckons how many daemons each linked one stands for.
func (x *Exchange) weigh() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.links == nil {
		return
	}
	linked := max(1, len(x.links.Linked()))
	x.factor = max(1, float64(x.opts.Daemons()-1)/float64(linked))
}

// Told returns the part of the other daemons that this one is linked to, from 0
// to 1.
func (x *Exchange) Told() float64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return 1 / x.factor
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
