package dissemination

import "time"

// lane numbers the frames between the daemon and one neighbour, so that a lost
// frame is sent again by that neighbour before anyone beyond misses it.
type lane struct {
	// sent is the number of the last frame sent, and recent holds what the
	// last frames brought, by number modulo recentFrames.
	sent   uint32
	recent [recentFrames][]Bundle
	// got is the number of the last frame received, missed what was jumped.
	got    uint32
	missed []uint32
	// asked is what the last frame asked for, which the next asks for again
	// in case that frame is lost.
	asked  []uint32
	usedAt time.Time
}

const (
	// recentFrames is how many frames can be sent again.
	recentFrames = 16
	// laneIdle is how long an unused lane is kept.
	laneIdle = time.Minute
)

// seal numbers a frame that goes to the neighbour.
func (l *lane) seal(now time.Time, frame *Frame) {
	l.sent++
	l.usedAt = now
	l.recent[l.sent%recentFrames] = frame.Bundles
	frame.Sequence, frame.Missed = l.sent, append(l.asked, l.missed...)
	l.asked, l.missed = l.missed, nil
}

// open notes a frame's number and returns what is to be sent again.
func (l *lane) open(now time.Time, frame *Frame) []Bundle {
	l.usedAt = now
	jump := frame.Sequence - l.got
	if l.got != 0 && jump > 1 && jump <= recentFrames {
		for number := l.got + 1; number != frame.Sequence; number++ {
			l.missed = append(l.missed, number)
		}
	}
	// A late frame doesn't take the count back; a restarted neighbour, which
	// counts from one again, does.
	if jump < 1<<31 || l.got-frame.Sequence > recentFrames {
		l.got = frame.Sequence
	}
	var again []Bundle
	for _, number := range frame.Missed {
		if l.sent-number < recentFrames {
			again = append(again, l.recent[number%recentFrames]...)
		}
	}
	return again
}
