package peer

import "sync"

// outbox holds what waits to be sent to one peer. Each kind has a ring of its
// own, which drops its oldest message when it is full, so that a slow peer
// costs old messages and no memory.
type outbox struct {
	// ready holds a token while something may wait.
	ready chan struct{}

	mu    sync.Mutex
	limit int
	rings [kinds][]Message
}

// kinds is one more than the highest kind.
const kinds = int(KindBacklog) + 1

// sendOrder is the order in which kinds are sent.
var sendOrder = [...]Kind{KindBacklog, KindMembership, KindConfig, KindUsageAck, KindState, KindUsageTail, KindBurn}

// newOutbox returns an empty outbox with room for limit messages of each kind.
func newOutbox(limit int) *outbox {
	return &outbox{ready: make(chan struct{}, 1), limit: limit}
}

// push queues a message and reports whether an older one was dropped.
func (o *outbox) push(message Message) (dropped bool) {
	o.mu.Lock()
	ring := o.rings[message.Kind]
	if len(ring) >= o.limit {
		copy(ring, ring[1:])
		ring = ring[:len(ring)-1]
		dropped = true
	}
	o.rings[message.Kind] = append(ring, message)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return dropped
}

// pop takes the next message.
func (o *outbox) pop() (Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, kind := range sendOrder {
		ring := o.rings[kind]
		if len(ring) == 0 {
			continue
		}
		message := ring[0]
		copy(ring, ring[1:])
		ring[len(ring)-1] = Message{}
		o.rings[kind] = ring[:len(ring)-1]
		return message, true
	}
	return Message{}, false
}
