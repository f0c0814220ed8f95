package targetlimit

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// repeatInterval is the time after which a statement that is in force is sent again,
	// for daemons that have come since or to which it was lost. Each host waits rankDelay
	// longer than the one before it, and maxRankDelay at most, so that mostly one sends it.
	repeatInterval = time.Second
	rankDelay      = 200 * time.Millisecond
	maxRankDelay   = 3 * time.Second
	// endRepeats is how often the end of a limit is sent again.
	endRepeats = 5
	// silenceTimeout is the time without news of a target after which a host that has no
	// seat sends it requests by itself.
	silenceTimeout = 6 * time.Second
	// retention is how long a statement is kept after the last news of it.
	retention = 10 * time.Minute
)

// limitState is what is known of one target's limit, and this host's part of it.
type limitState struct {
	Statement
	// limitedAt is when the newest statement of a limit came in, heardAt when anything
	// was last received of the target, from it or from another daemon.
	limitedAt, heardAt time.Time
	// spokenAt is when a statement on the target was last exchanged with other daemons.
	spokenAt time.Time
	// unsent is set if the statement is news that the others don't have. repeats is how
	// often it is still to be repeated if it is the end of a limit.
	unsent  bool
	repeats int
	// rank is this host's rank for the seats among the hosts of hostsVersion.
	rank, hostsVersion int
	// seated is set if the slots are those of a seat.
	seated bool
	slots  slots
}

// rankAmong returns this host's rank for the seats of the target.
func (s *limitState) rankAmong(self ident.Host, hosts *hostMemory) int {
	if s.hostsVersion != hosts.version {
		s.rank, s.hostsVersion = seatRank(s.Target, self, hosts.hosts), hosts.version
	}
	return s.rank
}

// hasSeat reports whether this host has a seat.
func (s *limitState) hasSeat(self ident.Host, hosts *hostMemory) bool {
	return s.rankAmong(self, hosts) < seatCount(s.PerSecond, len(hosts.hosts))
}

// updateSlots sets the interval of the slots: that of a seat, or that of an equal part of
// the rate if this host has none and receives nothing of the target. It reports false if
// this host sends the target nothing.
func (s *limitState) updateSlots(self ident.Host, hosts *hostMemory, now time.Time, draw float64) bool {
	count, parts := len(hosts.hosts), len(hosts.hosts)
	seated := s.hasSeat(self, hosts)
	if seated {
		parts = seatCount(s.PerSecond, count)
	} else if now.Sub(s.heardAt) < silenceTimeout {
		return false
	}
	if seated != s.seated {
		s.slots, s.seated = slots{}, seated
	}
	s.slots.setInterval(perRequest(max(1, parts), usedRate(s.PerSecond)), now, draw)
	return true
}

// due reports whether the statement is to be sent to the other daemons now.
func (s *limitState) due(self ident.Host, hosts *hostMemory, now time.Time) bool {
	silent := now.Sub(s.spokenAt)
	switch {
	case s.unsent:
		return true
	case !s.Limited:
		return s.repeats > 0 && silent >= repeatInterval
	case silent < repeatInterval:
		return false
	}
	return silent >= repeatInterval+min(maxRankDelay, time.Duration(s.rankAmong(self, hosts))*rankDelay)
}
