package config

import (
	"fmt"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// PeerReport is the latest report of a peer's loaded control state.
type PeerReport struct {
	HostRevisions
	// At is when the report was received.
	At time.Duration
	// Since is when the unbroken series of reports that ends with this one
	// began.
	Since time.Duration
}

// FreshnessInput is the input of EvaluateFreshness: the daemon's own revisions,
// its reads of the store and the peers' reports. All times are read from one clock
// that keeps running during system suspend.
type FreshnessInput struct {
	Self ident.Host
	Own  Revisions
	// Started is when the process started.
	Started time.Duration
	// Confirmed is the time at which the last read of the store that showed
	// nothing newer was sent. HasConfirmed is false before the first such read.
	Confirmed    time.Duration
	HasConfirmed bool
	// WasFresh is set once the process has been fresh. Until then it does not
	// count itself toward the majority.
	WasFresh bool
	// Behind is set while a majority of the hosts reports newer control state,
	// and BehindSince is when that began.
	Behind      bool
	BehindSince time.Duration
	Roster      Roster
	Reports     []PeerReport
}

// Basis is the evidence that a daemon's control state is fresh.
type Basis string

// Kinds of evidence.
const (
	// BasisNone means that the control state may be out of date.
	BasisNone Basis = "none"
	// BasisStore means that a recent read of the store showed nothing newer.
	BasisStore Basis = "store"
	// BasisMajority means that a majority of the hosts recently reported
	// nothing newer.
	BasisMajority Basis = "majority"
)

// Freshness is the result of a freshness evaluation: whether a daemon may serve on
// its control state.
type Freshness struct {
	Basis Basis `json:"basis"`
	// Until is when the result expires unless it is renewed.
	Until time.Duration `json:"-"`
	// PeersUntil is when the reports of a majority of the hosts expire, or
	// zero if there is no such majority.
	PeersUntil time.Duration `json:"-"`
	// FreshHosts counts the hosts that recently reported nothing newer, including
	// the daemon's own; Needed is how many make a majority.
	FreshHosts int `json:"inTouch"`
	Needed     int `json:"needed"`
	// Reason states why the daemon may not serve, or is empty if it may.
	Reason string `json:"reason,omitempty"`
}

// MayServe reports whether the daemon may serve at the given time. It is false
// once the result has expired.
func (f Freshness) MayServe(now time.Duration) bool { return f.Basis != BasisNone && now < f.Until }

// EvaluateFreshness decides whether a daemon may serve at the given time. It may
// if a recent read of the store showed nothing newer, or if a majority of the
// roster's hosts recently reported nothing newer. An accepted change was loaded
// by a majority, and any two majorities share a host, so no daemon serves on an
// older revision for longer than Timing.PropagationBound after the acceptance.
func EvaluateFreshness(now time.Duration, input *FreshnessInput, timing Timing) Freshness {
	result := Freshness{Basis: BasisNone}
	if input.Own.Config == 0 {
		result.Reason = "the daemon has not loaded a configuration yet"
		return result
	}
	result.FreshHosts, result.Needed, result.PeersUntil = countFreshHosts(now, input, timing)
	if input.Behind && now-input.BehindSince > timing.BehindGrace {
		result.Reason = "a majority of the hosts has a newer configuration or newer holds"
		return result
	}
	storeUntil := input.Confirmed + timing.StoreMaxAge
	if input.HasConfirmed && now < storeUntil {
		result.Basis, result.Until = BasisStore, storeUntil
	}
	mayCount := input.WasFresh || now-input.Started >= timing.RejoinDelay()
	if mayCount && result.PeersUntil > now && result.PeersUntil > result.Until {
		result.Basis, result.Until = BasisMajority, result.PeersUntil
	}
	if result.Basis == BasisNone {
		result.Reason = fmt.Sprintf("no recent read of the store succeeded and only %d of the %d required hosts reported recently", result.FreshHosts, result.Needed)
	}
	return result
}

// countFreshHosts counts the hosts of the roster that recently reported nothing
// newer, including the daemon's own once it has been fresh. It returns when the
// count falls below a majority unless new reports arrive.
func countFreshHosts(now time.Duration, input *FreshnessInput, timing Timing) (fresh, needed int, until time.Duration) {
	needed = majorityOf(len(input.Roster.Hosts))
	var ends []time.Duration
	for _, r := range input.Reports {
		if countsTowardMajority(now, &r, input, timing) {
			ends = append(ends, r.At+timing.PeersMaxAge)
		}
	}
	if input.WasFresh && slices.Contains(input.Roster.Hosts, input.Self) {
		ends = append(ends, now+timing.PeersMaxAge)
	}
	fresh = len(ends)
	if fresh < needed || input.Roster.Empty() {
		return fresh, needed, 0
	}
	slices.Sort(ends)
	return fresh, needed, ends[fresh-needed]
}

// countsTowardMajority reports whether a report counts: it comes from another
// host of the roster, names nothing newer, is recent, and ends a series that has
// lasted for at least SettleTime.
func countsTowardMajority(now time.Duration, r *PeerReport, input *FreshnessInput, timing Timing) bool {
	return r.Revisions.Config != 0 &&
		input.Own.Covers(r.Revisions) &&
		now-r.At < timing.PeersMaxAge &&
		r.At-r.Since >= timing.SettleTime &&
		r.Host != input.Self &&
		slices.Contains(input.Roster.Hosts, r.Host)
}

// IsBehind reports whether a majority of the roster's hosts has loaded control
// state that the daemon lacks.
func IsBehind(now time.Duration, input *FreshnessInput, timing Timing) bool {
	newer := 0
	for _, r := range input.Reports {
		recent := now-r.At < timing.PeersMaxAge
		if recent && !input.Own.Covers(r.Revisions) && slices.Contains(input.Roster.Hosts, r.Host) {
			newer++
		}
	}
	return !input.Roster.Empty() && newer >= majorityOf(len(input.Roster.Hosts))
}
