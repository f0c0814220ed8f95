package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// localFactor is how many times its even share of a limit one daemon may use,
// since callers' connections don't spread evenly.
const localFactor = 2

// limits hold one workspace's rates at one daemon. The fleet's buckets are
// charged with what every daemon took, the local ones with this daemon's part.
// With reports of others' use that are lag seconds old, the fleet admits in
// any window of T seconds at most
//
//	rate * (T + burst + localFactor*(burst+2*lag)).
//
// The local buckets bound what is not charged: the use of the last lag seconds,
// and that before a fresh daemon's first report, which its buckets start from.
type limits struct {
	fleetRequests bucket
	fleetTokens   bucket
	localRequests bucket
	localTokens   bucket
	// heard is the use elsewhere that was charged last; known is set then.
	heard Consumption
	known bool
	// running counts the requests that this daemon runs.
	running int
}

// charge takes in what the workspace used elsewhere and returns the tokens
// that are new. Sums that fell, as when a daemon is lost, give nothing back.
func (l *limits) charge(use Consumption) float64 {
	requests, tokens := rise(l.heard.Requests, use.Requests), rise(l.heard.Tokens, use.Tokens)
	l.heard = use
	if !l.known {
		l.known = true
		return 0
	}
	l.fleetRequests.level -= requests
	l.fleetTokens.level -= tokens
	return tokens
}

// rise returns by how much a sum rose.
func rise(before, after uint64) float64 {
	if after <= before {
		return 0
	}
	return float64(after - before)
}

// refill brings the buckets up to now.
func (l *limits) refill(now time.Time, knobs *config.AdmissionKnobs, daemons int) {
	burst, part := knobs.Burst.D().Seconds(), localPart(daemons)
	l.fleetRequests.refill(now, knobs.RequestsPerSecond, burst*knobs.RequestsPerSecond)
	l.fleetTokens.refill(now, knobs.TokensPerSecond, burst*knobs.TokensPerSecond)
	l.localRequests.refill(now, knobs.RequestsPerSecond*part, burst*knobs.RequestsPerSecond*part)
	l.localTokens.refill(now, knobs.TokensPerSecond*part, burst*knobs.TokensPerSecond*part)
	l.localRequests.follow(&l.fleetRequests)
	l.localTokens.follow(&l.fleetTokens)
}

// localPart is the part of a fleet-wide limit that one of so many daemons may
// use by itself.
func localPart(daemons int) float64 { return min(1, localFactor/float64(daemons)) }

// take takes one request and its tokens from the buckets, or returns a refusal
// that says when they will be there.
func (l *limits) take(req *request.Request, knobs *config.AdmissionKnobs, daemons int) error {
	tokens, burst, part := tokensOf(req), knobs.Burst.D().Seconds(), localPart(daemons)
	requestRate, tokenRate := knobs.RequestsPerSecond, knobs.TokensPerSecond
	wait := max(
		l.fleetRequests.wait(1, requestRate, max(1, burst*requestRate)),
		l.fleetTokens.wait(tokens, tokenRate, burst*tokenRate),
		l.localRequests.wait(1, requestRate*part, burst*requestRate*part),
		l.localTokens.wait(tokens, tokenRate*part, burst*tokenRate*part),
	)
	if wait > 0 {
		return fault.New(fault.Limited, "the workspace's rate is used up",
			"try again after the time in Retry-After, or ask the operators for a higher rate").After(wait)
	}
	l.add(1, tokens)
	return nil
}

// add takes requests and tokens; negative ones are given back.
func (l *limits) add(requests, tokens float64) {
	l.fleetRequests.level -= requests
	l.localRequests.level -= requests
	l.fleetTokens.level -= tokens
	l.localTokens.level -= tokens
}

// mayRun reports whether one more request may run by the concurrency limit.
// The fleet runs at most localFactor times the limit, and the limit once use
// elsewhere is known.
func (l *limits) mayRun(knobs *config.AdmissionKnobs, daemons int) bool {
	if int64(l.running+l.heard.Running) >= knobs.Concurrency {
		return false
	}
	return float64(l.running) < max(1, float64(knobs.Concurrency)*localPart(daemons))
}

// tokensOf is the count of tokens that a request is expected to use.
func tokensOf(req *request.Request) float64 {
	return float64(req.PromptTokens + req.MaxOutputTokens)
}
