package overload

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// retryAfter is the Retry-After of requests that are refused.
	retryAfter = 250 * time.Millisecond
	// stalledAfter is how long a caller may leave a piece of its body or its head unsent, and
	// unreadAfter how long a part of its answer unread, before it gives way
	// to others.
	stalledAfter = 250 * time.Millisecond
	unreadAfter  = 2 * time.Second
)

// ErrFull refuses a request for which there is no room.
var ErrFull = fault.New(fault.Unavailable, "the requests of callers take the daemon's memory",
	"send the request again after the time in Retry-After, or a smaller body").WithRetryAfter(retryAfter)

// Budget bounds what callers make the process hold. A nil Budget has no bound. It is safe for
// concurrent use.
type Budget struct {
	limits  Limits
	metrics *metrics

	mu                      sync.Mutex
	heads, requests, bodies class
	// holds are the requests that have not ended.
	holds map[*Hold]struct{}
	// ports are all of the following.
	ports                               []*Port
	callers, readiness, operator, peers *Port
}

// New returns a budget of which nothing is used. The metrics are registered unless registerer is
// nil; a nil log discards the lines.
func New(limits Limits, log *slog.Logger, registerer prometheus.Registerer) *Budget {
	b := &Budget{
		limits: limits, heads: newClass("heads", limits.HeadBytes),
		requests: newClass("requests", limits.RequestBytes), bodies: newClass("bodies", limits.BodyBytes),
		holds: make(map[*Hold]struct{}),
	}
	b.callers = b.newPort("caller connections", limits.CallerConnections)
	b.readiness = b.newPort("readiness connections", limits.OperatorConnections)
	b.operator = b.newPort("operator connections", limits.OperatorConnections)
	b.peers = b.newPort("peer connections", limits.PeerConnections)
	b.metrics = newMetrics(b, log, registerer)
	return b
}

// heldBytes returns the bytes that a class holds.
func (b *Budget) heldBytes(c *class) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(c.held)
}

// take counts bytes of a request in a class. If they don't fit, the holds give way that are worse
// than it; it fails if there are none. b.mu must be held.
func (b *Budget) take(c *class, h *Hold, route ident.Route, bytes int64) error {
	if h.evicted {
		return ErrFull
	}
	for {
		fits, own := c.fits(route, bytes)
		if fits {
			c.add(route, bytes)
			return nil
		}
		only := route
		if own {
			only = ""
		}
		victim := b.worstHold(c, only, time.Now())
		if victim == nil || victim == h {
			b.metrics.refused(c.name, c.held, c.most)
			return ErrFull
		}
		b.metrics.evicted(c.name, c.held, c.most)
		b.evict(victim)
	}
}

// worstHold returns the hold that gives way first among those that hold bytes of a class, of one
// route unless that is empty. It returns nil if none may give way. b.mu must be held.
func (b *Budget) worstHold(c *class, only ident.Route, now time.Time) *Hold {
	var worst *Hold
	most := 0.0
	for h := range b.holds {
		if only != "" && h.route != only {
			continue
		}
		if weight := h.weight(now) * float64(h.bytesOf(b, c)); weight > most {
			worst, most = h, weight
		}
	}
	return worst
}

// evict ends a request that has not run, or an answer that is not read, and no longer counts what
// it holds. b.mu must be held.
func (b *Budget) evict(h *Hold) {
	h.evicted = true
	b.release(h)
	// It may have to wait for the server of the connection, which waits for b.mu.
	go h.interrupt(h.whole)
}

// release no longer counts what a request holds. b.mu must be held.
func (b *Budget) release(h *Hold) {
	b.requests.add(h.route, -h.requestBytes)
	b.bodies.add(h.route, -h.bodyBytes)
	h.requestBytes, h.bodyBytes = 0, 0
	delete(b.holds, h)
}
