package dissemination

import "time"

// linkState numbers the frames exchanged with one neighbor, so that the
// neighbor retransmits the bundles of a lost frame before daemons downstream
// miss them.
type linkState struct {
	// lastSent is the number of the last frame sent. sentBundles holds the
	// bundles of the last frames, by number modulo retransmitWindow.
	lastSent    uint32
	sentBundles [retransmitWindow][]Bundle
	// lastReceived is the number of the last frame received. missing holds
	// the numbers that were skipped.
	lastReceived uint32
	missing      []uint32
	// reportedMissing holds the numbers that the last frame sent reported as
	// missing. The next one reports them again in case the last one is lost.
	reportedMissing []uint32
	usedAt          time.Time
}

const (
	// retransmitWindow is the number of recent frames that can be
	// retransmitted.
	retransmitWindow = 16
	// linkStateTimeout is how long an unused link state is kept.
	linkStateTimeout = time.Minute
)

// numberFrame assigns the next number to an outgoing frame, records its
// bundles and reports the missing frames.
func (l *linkState) numberFrame(now time.Time, frame *Frame) {
	l.lastSent++
	l.usedAt = now
	l.sentBundles[l.lastSent%retransmitWindow] = frame.Bundles
	frame.Sequence, frame.Missed = l.lastSent, append(l.reportedMissing, l.missing...)
	l.reportedMissing, l.missing = l.missing, nil
}

// recordReceived records the number of an incoming frame and returns the
// bundles to retransmit.
func (l *linkState) recordReceived(now time.Time, frame *Frame) []Bundle {
	l.usedAt = now
	jump := frame.Sequence - l.lastReceived
	if l.lastReceived != 0 && jump > 1 && jump <= retransmitWindow {
		for number := l.lastReceived + 1; number != frame.Sequence; number++ {
			l.missing = append(l.missing, number)
		}
	}
	// A late frame doesn't lower lastReceived; a restarted neighbor, which
	// counts from one again, does.
	if jump < 1<<31 || l.lastReceived-frame.Sequence > retransmitWindow {
		l.lastReceived = frame.Sequence
	}
	var retransmits []Bundle
	for _, number := range frame.Missed {
		if l.lastSent-number < retransmitWindow {
			retransmits = append(retransmits, l.sentBundles[number%retransmitWindow]...)
		}
	}
	return retransmits
}
