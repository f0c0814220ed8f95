package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// localFactor bounds the part of a limit that one daemon may use, as a multiple of
// an even share per daemon. It is above one since callers' connections are not
// spread evenly.
const localFactor = 2

// limits enforces the limits of one workspace at one daemon. The fleet buckets are
// charged with the usage of all daemons, the local buckets with this daemon's only.
// If reports of the other daemons' usage are lag seconds old, the fleet admits in
// any window of T seconds at most
//
//	rate * (T + burst + localFactor*(burst+2*lag)).
//
// The local buckets bound the usage that is not charged to the fleet buckets: that
// of the last lag seconds, and on a new daemon all usage before the first report,
// which only sets the baseline.
type limits struct {
	fleetRequests bucket
	fleetTokens   bucket
	localRequests bucket
	localTokens   bucket
	// remote is the usage at the other daemons that was charged last; it is valid
	// once remoteKnown is set.
	remote      Consumption
	remoteKnown bool
	// running is the number of requests running at this daemon.
	running int
}

// chargeRemote charges the workspace's new usage at the other daemons and returns
// the number of new tokens. A total that decreased, as when a daemon is lost,
// refunds nothing.
func (l *limits) chargeRemote(use Consumption) float64 {
	requests, tokens := increase(l.remote.Requests, use.Requests), increase(l.remote.Tokens, use.Tokens)
	l.remote = use
	if !l.remoteKnown {
		l.remoteKnown = true
		return 0
	}
	l.fleetRequests.level -= requests
	l.fleetTokens.level -= tokens
	return tokens
}

// increase returns by how much a total increased, or zero if it decreased.
func increase(before, after uint64) float64 {
	if after <= before {
		return 0
	}
	return float64(after - before)
}

// refill refills the buckets up to now.
func (l *limits) refill(now time.Time, knobs *config.AdmissionKnobs, daemons int) {
	burst, fraction := knobs.Burst.D().Seconds(), localFraction(daemons)
	l.fleetRequests.refill(now, knobs.RequestsPerSecond, burst*knobs.RequestsPerSecond)
	l.fleetTokens.refill(now, knobs.TokensPerSecond, burst*knobs.TokensPerSecond)
	l.localRequests.refill(now, knobs.RequestsPerSecond*fraction, burst*knobs.RequestsPerSecond*fraction)
	l.localTokens.refill(now, knobs.TokensPerSecond*fraction, burst*knobs.TokensPerSecond*fraction)
	l.localRequests.drainWith(&l.fleetRequests)
	l.localTokens.drainWith(&l.fleetTokens)
}

// localFraction returns the fraction of a fleet-wide limit that one daemon may use
// in a fleet of the given size.
func localFraction(daemons int) float64 { return min(1, localFactor/float64(daemons)) }

// take takes one request and its tokens from the buckets. If they are not
// available, it returns an error whose RetryAfter is the time until they are.
func (l *limits) take(req *request.Request, knobs *config.AdmissionKnobs, daemons int) error {
	tokens, burst, fraction := expectedTokens(req), knobs.Burst.D().Seconds(), localFraction(daemons)
	requestRate, tokenRate := knobs.RequestsPerSecond, knobs.TokensPerSecond
	wait := max(
		l.fleetRequests.wait(1, requestRate, max(1, burst*requestRate)),
		l.fleetTokens.wait(tokens, tokenRate, burst*tokenRate),
		l.localRequests.wait(1, requestRate*fraction, burst*requestRate*fraction),
		l.localTokens.wait(tokens, tokenRate*fraction, burst*tokenRate*fraction),
	)
	if wait > 0 {
		return fault.New(fault.Limited, "the workspace's rate limit is exceeded",
			"send the request again after the time in Retry-After, or ask the operators for a higher rate limit").WithRetryAfter(wait)
	}
	l.charge(1, tokens)
	return nil
}

// charge takes requests and tokens from the buckets; negative amounts are
// returned to them.
func (l *limits) charge(requests, tokens float64) {
	l.fleetRequests.level -= requests
	l.localRequests.level -= requests
	l.fleetTokens.level -= tokens
	l.localTokens.level -= tokens
}

// mayRun reports whether the concurrency limit allows one more request. The fleet
// runs at most localFactor times the limit, or one request per daemon if that is
// more, and at most the limit once the usage at the other daemons is known.
func (l *limits) mayRun(knobs *config.AdmissionKnobs, daemons int) bool {
	if int64(l.running+l.remote.Running) >= knobs.Concurrency {
		return false
	}
	return float64(l.running) < max(1, float64(knobs.Concurrency)*localFraction(daemons))
}

// expectedTokens returns the estimated token usage of a request: its prompt and its
// maximum output.
func expectedTokens(req *request.Request) float64 {
	return float64(req.PromptTokens + req.MaxOutputTokens)
}
