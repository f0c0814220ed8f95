package config

import (
	"fmt"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Statement is what a daemon has heard of another's control state.
type Statement struct {
	Loaded
	// At is when it was heard.
	At time.Duration
	// Since is when the unbroken run of statements that it ends began.
	Since time.Duration
}

// Facts are what a daemon knows of the freshness of its control state. All
// times are of one clock that runs through suspension.
type Facts struct {
	Self ident.Host
	Own  Revisions
	// Started is when the process started.
	Started time.Duration
	// Confirmed is when the newest read of the store that showed nothing newer
	// was sent. HasConfirmed is false before the first.
	Confirmed    time.Duration
	HasConfirmed bool
	// Loaded says that the process has been fresh once; until then it does not
	// count itself among the hosts.
	Loaded bool
	// BehindSince is when a majority of the hosts was first heard to have
	// something newer, and Behind whether that is so.
	Behind      bool
	BehindSince time.Duration
	Roster      Roster
	Statements  []Statement
}

// Basis says what a daemon's freshness rests on.
type Basis string

// The bases.
const (
	// BasisNone means that the control state may be out of date.
	BasisNone Basis = "none"
	// BasisStore means that the store has lately shown nothing newer.
	BasisStore Basis = "store"
	// BasisMajority means that a majority of the hosts has lately shown
	// nothing newer.
	BasisMajority Basis = "majority"
)

// Verdict says whether a daemon may serve on its control state.
type Verdict struct {
	Basis Basis `json:"basis"`
	// Until is when the verdict ends unless it is renewed.
	Until time.Duration `json:"-"`
	// PeersUntil is until when a majority of the hosts is heard from, or zero.
	PeersUntil time.Duration `json:"-"`
	// InTouch counts the hosts that are heard from with nothing newer, the
	// daemon's own among them; Needed is the majority.
	InTouch int `json:"inTouch"`
	Needed  int `json:"needed"`
	// Reason says why the daemon may not serve.
	Reason string `json:"reason,omitempty"`
}

// Serve reports whether the daemon may serve at the given time.
func (v Verdict) Serve(now time.Duration) bool { return v.Basis != BasisNone && now < v.Until }

// Decide returns whether a daemon may serve at the given time. It may while the
// store has lately shown nothing newer, or while a majority of the roster's
// hosts has been heard from with nothing newer. An accepted change was loaded
// by a majority, and two majorities share a host, so that no daemon serves on
// less than it for longer than Timing.InForceAfter.
func Decide(now time.Duration, facts *Facts, timing Timing) Verdict {
	v := Verdict{Basis: BasisNone}
	if facts.Own.Config == 0 {
		v.Reason = "no configuration was loaded yet"
		return v
	}
	v.InTouch, v.Needed, v.PeersUntil = touch(now, facts, timing)
	if facts.Behind && now-facts.BehindSince > timing.BehindGrace {
		v.Reason = "a majority of the hosts has a newer configuration"
		return v
	}
	storeUntil := facts.Confirmed + timing.StoreMaxAge
	if facts.HasConfirmed && now < storeUntil {
		v.Basis, v.Until = BasisStore, storeUntil
	}
	mayCount := facts.Loaded || now-facts.Started >= timing.LoadWait()
	if mayCount && v.PeersUntil > now && v.PeersUntil > v.Until {
		v.Basis, v.Until = BasisMajority, v.PeersUntil
	}
	if v.Basis == BasisNone {
		v.Reason = fmt.Sprintf("the store has not answered lately and only %d of the %d hosts that are needed are heard from", v.InTouch, v.Needed)
	}
	return v
}

// touch counts the hosts of the roster that are heard from with nothing newer,
// and returns until when the needed ones are heard from.
func touch(now time.Duration, facts *Facts, timing Timing) (inTouch, needed int, until time.Duration) {
	needed = majorityOf(len(facts.Roster.Hosts))
	var ends []time.Duration
	for _, s := range facts.Statements {
		if counts(now, &s, facts, timing) {
			ends = append(ends, s.At+timing.PeersMaxAge)
		}
	}
	if facts.Loaded && slices.Contains(facts.Roster.Hosts, facts.Self) {
		ends = append(ends, now+timing.PeersMaxAge)
	}
	inTouch = len(ends)
	if inTouch < needed || facts.Roster.Empty() {
		return inTouch, needed, 0
	}
	slices.Sort(ends)
	return inTouch, needed, ends[inTouch-needed]
}

// counts reports whether a statement may be counted: it is of a host of the
// roster that has loaded something not newer, is recent, and ends a run that
// has lasted long enough.
func counts(now time.Duration, s *Statement, facts *Facts, timing Timing) bool {
	return s.Revisions.Config != 0 &&
		facts.Own.Covers(s.Revisions) &&
		now-s.At < timing.PeersMaxAge &&
		s.At-s.Since >= timing.Settle &&
		s.Host != facts.Self &&
		slices.Contains(facts.Roster.Hosts, s.Host)
}

// Behind reports whether a majority of the roster's hosts has loaded something
// that the daemon has not.
func Behind(now time.Duration, facts *Facts, timing Timing) bool {
	newer := 0
	for _, s := range facts.Statements {
		recent := now-s.At < timing.PeersMaxAge
		if recent && !facts.Own.Covers(s.Revisions) && slices.Contains(facts.Roster.Hosts, s.Host) {
			newer++
		}
	}
	return !facts.Roster.Empty() && newer >= majorityOf(len(facts.Roster.Hosts))
}
