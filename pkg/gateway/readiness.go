package gateway

import "sync/atomic"

// readiness detects changes of the readiness that is reported to the balancer.
type readiness struct {
	// ready is the last value.
	ready atomic.Bool
}

// update stores a new value and reports whether it differs from the last one.
func (r *readiness) update(ready bool) bool { return r.ready.Swap(ready) != ready }

// reportReadiness returns an error if the balancer must not send requests, and logs
// each change.
func (g *Gateway) reportReadiness() error {
	err := g.checkReady()
	if g.readiness.update(err == nil) {
		age, _ := g.mirror.Age()
		g.opts.Log.Info("readiness changed", "ready", err == nil, "viewAge", age, "reason", err)
	}
	return err
}
