package overload

import (
	"sync/atomic"
	"time"
)

const (
	// maxPendingStreams is how many streams of a connection over HTTP/2 may be open before their
	// requests are counted: the server holds those whose handlers have not begun.
	maxPendingStreams = 16
	// pendingTimeout is how long the connection is not read from when there are more, before it is
	// closed.
	pendingTimeout = time.Second

	// frameHeadBytes is the length of a frame's head, headersFrame the type of the frame that opens a
	// stream (RFC 9113, section 6.2).
	frameHeadBytes = 9
	headersFrame   = 0x1
)

// streams counts the streams of a connection over HTTP/2 that are open and whose requests have not
// been counted yet, by the heads of the frames that are read.
type streams struct {
	pending atomic.Int64
	// begun receives a value, if it has room, when a request was counted.
	begun chan struct{}
	// head holds the bytes of a frame's head that have been read, payload is how many bytes of its
	// payload come next. newest is the newest stream. Only the reader of the connection uses them.
	head    []byte
	payload int
	newest  uint32
}

// newStreams returns the streams of a connection whose first frame comes next.
func newStreams() *streams {
	return &streams{begun: make(chan struct{}, 1), head: make([]byte, 0, frameHeadBytes)}
}

// observe counts the streams that are opened by the next bytes of the connection.
func (s *streams) observe(text []byte) {
	for len(text) > 0 {
		if s.payload > 0 {
			skipped := min(s.payload, len(text))
			s.payload, text = s.payload-skipped, text[skipped:]
			continue
		}
		taken := min(frameHeadBytes-len(s.head), len(text))
		s.head, text = append(s.head, text[:taken]...), text[taken:]
		if len(s.head) == frameHeadBytes {
			s.observeFrame()
		}
	}
}

// observeFrame counts the stream that a frame opens, if it does.
func (s *streams) observeFrame() {
	const reserved = 1 << 31
	h := s.head
	s.payload = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	id := (uint32(h[5])<<24 | uint32(h[6])<<16 | uint32(h[7])<<8 | uint32(h[8])) &^ reserved
	if h[3] == headersFrame && id > s.newest {
		s.newest = id
		s.pending.Add(1)
	}
	s.head = h[:0]
}

// begin records that the request of a stream was counted.
func (s *streams) begin() {
	s.pending.Add(-1)
	select {
	case s.begun <- struct{}{}:
	default:
	}
}

// await waits until at most maxPendingStreams are pending. It reports false after pendingTimeout.
func (s *streams) await() bool {
	if s.pending.Load() <= maxPendingStreams {
		return true
	}
	timeout := time.NewTimer(pendingTimeout)
	defer timeout.Stop()
	for s.pending.Load() > maxPendingStreams {
		select {
		case <-s.begun:
		case <-timeout.C:
			return false
		}
	}
	return true
}
