package tally

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// leastVoices is how many other daemons must have told their time before it
	// is believed against the daemon's own.
	leastVoices = 2
	// voiceAge is how long what another daemon told counts.
	voiceAge = 10 * time.Second
	// leastCorrection is the least difference that is corrected. It is above
	// what messages take, and a small part of a window.
	leastCorrection = 250 * time.Millisecond
	// standsFor is how long a difference must stand before it is corrected: what
	// a daemon hears after it was frozen is old at first.
	standsFor = 500 * time.Millisecond
	// learnFor is how long after its start a daemon is corrected. Later its
	// steady clock is surer than messages, which may come late.
	learnFor = 30 * time.Second
)

// Agreement corrects the true time of a daemon that started while its time of
// day was off, by what the other daemons tell.
type Agreement struct {
	time *TrueTime
	log  *slog.Logger

	mu     sync.Mutex
	voices map[ident.Host]voice
	// began is the daemon's start; since is when the present difference was
	// first seen, or zero.
	began, since time.Time
}

// voice is how far another daemon's time was ahead, and when it was told.
type voice struct {
	ahead time.Duration
	at    time.Time
}

// NewAgreement returns an agreement that has heard nobody.
func NewAgreement(t *TrueTime, log *slog.Logger) *Agreement {
	return &Agreement{time: t, log: log, voices: make(map[ident.Host]voice), began: time.Now()}
}

// Heard takes in another daemon's true time, which it told just now.
func (a *Agreement) Heard(from ident.Host, said time.Time) {
	now := time.Now()
	if now.Sub(a.began) > learnFor {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.voices[from] = voice{ahead: said.Sub(a.time.Now()), at: now}
	ahead, ok := a.median()
	if !ok || ahead.Abs() < leastCorrection {
		a.since = time.Time{}
		return
	}
	if a.since.IsZero() {
		a.since = now
	}
	if now.Sub(a.since) >= standsFor {
		a.correct(ahead)
	}
}

// correct shifts the daemon's time.
func (a *Agreement) correct(ahead time.Duration) {
	a.since = time.Time{}
	a.time.shift(ahead)
	for host, v := range a.voices {
		v.ahead -= ahead
		a.voices[host] = v
	}
	a.log.Warn("true time corrected", "by", ahead, "voices", len(a.voices))
}

// median returns how far the time of most daemons is ahead, this one counted, or
// false where too few have told theirs. Of two middle ones it takes the nearer.
func (a *Agreement) median() (time.Duration, bool) {
	aheads := []time.Duration{0}
	for host, v := range a.voices {
		if time.Since(v.at) > voiceAge {
			delete(a.voices, host)
			continue
		}
		aheads = append(aheads, v.ahead)
	}
	if len(aheads) <= leastVoices {
		return 0, false
	}
	slices.Sort(aheads)
	low, high := aheads[(len(aheads)-1)/2], aheads[len(aheads)/2]
	if low.Abs() < high.Abs() {
		return low, true
	}
	return high, true
}
