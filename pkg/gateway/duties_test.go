package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// TestDutiesWaitForCallsWhereFencingIsUnchecked guards against a duty's work that begins while a call
// of its former holder may still arrive at a receiver that takes it, and against a delay elsewhere.
func TestDutiesWaitForCallsWhereFencingIsUnchecked(t *testing.T) {
	opts := Options{LeaseTerm: 3 * time.Second, StopGrace: 8 * time.Second}
	must.Zero(t, leaseTiming(&opts).HandoverDelay)
	opts.FencingUnchecked = true
	must.Eq(t, target.UndeliveredFor, leaseTiming(&opts).HandoverDelay)
	opts.LeaseTerm = 2 * target.UndeliveredFor
	must.Eq(t, opts.LeaseTerm, leaseTiming(&opts).HandoverDelay)
}
