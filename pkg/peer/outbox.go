package peer

import "sync"

// outbox queues the messages for one peer. Each kind has its own queue, which drops
// its oldest message when it is full, so that the memory for a slow peer is
// bounded.
type outbox struct {
	// ready holds a token while a message may be queued.
	ready chan struct{}

	mu     sync.Mutex
	limit  int
	queues [kindCount][]Message
}

// kindCount is the size of arrays indexed by Kind: one more than the highest kind.
const kindCount = int(KindQuota) + 1

// sendOrder lists the kinds in order of decreasing priority.
var sendOrder = [...]Kind{
	KindStoreEra, KindCrashes, KindQuota, KindStreamOrigins, KindClosedWindow, KindBacklog, KindMembership, KindConfig, KindUsageAck, KindState, KindUsageTail, KindBurn,
}

// newOutbox returns an empty outbox for up to limit messages of each kind.
func newOutbox(limit int) *outbox {
	return &outbox{ready: make(chan struct{}, 1), limit: limit}
}

// push queues a message and reports whether an older one was dropped.
func (o *outbox) push(message Message) (dropped bool) {
	o.mu.Lock()
	queue := o.queues[message.Kind]
	if len(queue) >= o.limit {
		copy(queue, queue[1:])
		queue = queue[:len(queue)-1]
		dropped = true
	}
	o.queues[message.Kind] = append(queue, message)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return dropped
}

// pop removes and returns the next message, or false if there is none.
func (o *outbox) pop() (Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, kind := range sendOrder {
		queue := o.queues[kind]
		if len(queue) == 0 {
			continue
		}
		message := queue[0]
		copy(queue, queue[1:])
		queue[len(queue)-1] = Message{}
		o.queues[kind] = queue[:len(queue)-1]
		return message, true
	}
	return Message{}, false
}
