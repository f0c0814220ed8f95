package targetlimit

import "time"

// burstTime is the time for which unused slots are kept. A pause of the process longer
// than that saves up no more.
const burstTime = 250 * time.Millisecond

// slots gives out the moments at which requests may be sent, at equal intervals. There
// are none at the beginning.
type slots struct {
	// interval is the time between two slots, or zero before the first is known.
	interval time.Duration
	// next is when the next slot is free.
	next time.Time
}

// setInterval changes the interval. The first slot is free after a part of the interval,
// draw from 0 to 1, so that daemons which begin together don't send together.
func (s *slots) setInterval(interval time.Duration, now time.Time, draw float64) {
	interval = max(1, interval)
	switch {
	case s.interval == interval:
		return
	case s.interval == 0:
		s.next = now.Add(scale(interval, draw))
	case s.next.After(now):
		s.next = now.Add(scale(s.next.Sub(now), float64(interval)/float64(s.interval)))
	}
	s.interval = interval
}

// wait returns the time until a slot is free, or zero if one is.
func (s *slots) wait(now time.Time) time.Duration { return max(0, s.next.Sub(now)) }

// take uses a slot, and reports false if none is free.
func (s *slots) take(now time.Time) bool {
	if s.wait(now) > 0 {
		return false
	}
	if kept := now.Add(-burstTime); s.next.Before(kept) {
		s.next = kept
	}
	s.next = s.next.Add(s.interval)
	return true
}

// maxWait bounds the durations that are computed from rates.
const maxWait = 24 * time.Hour

// scale returns the duration times a factor, at most maxWait.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxWait)))
}

// perRequest returns the time between two requests of one of the given number of equal
// parts of a rate, in requests per second.
func perRequest(parts int, rate float64) time.Duration {
	return scale(time.Second, float64(parts)/rate)
}
