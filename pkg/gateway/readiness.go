package gateway

import "sync/atomic"

// readiness notes when what the balancer is told changes.
type readiness struct {
	// ready is the newest answer.
	ready atomic.Bool
}

// changed takes in a new answer and reports whether it differs from the last.
func (r *readiness) changed(ready bool) bool { return r.ready.Swap(ready) != ready }

// tellBalancer tells whether the balancer may send requests, and logs where the
// answer changes.
func (g *Gateway) tellBalancer() error {
	err := g.ready()
	if g.readiness.changed(err == nil) {
		age, _ := g.mirror.Age()
		g.opts.Log.Info("readiness changed", "ready", err == nil, "viewAge", age, "reason", err)
	}
	return err
}
