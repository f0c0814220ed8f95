package peer

// Kind names a sort of message. A receiver skips kinds that it doesn't know.
type Kind uint8

// The kinds of message.
const (
	// KindHello opens a link and proves that the sender belongs to the fleet.
	KindHello Kind = 1
	// KindMembership carries heartbeats and suspicions.
	KindMembership Kind = 2
	// KindState carries versioned state: revisions, target views, load and
	// consumption.
	KindState Kind = 3
	// KindUsageTail carries usage records since the last checkpoint.
	KindUsageTail Kind = 4
	// KindUsageAck confirms usage records.
	KindUsageAck Kind = 5
	// KindConfig carries a configuration revision or the question for one.
	KindConfig Kind = 6
	// KindBurn carries service-level counts.
	KindBurn Kind = 7
	// KindBacklog carries what a daemon has outstanding at engines.
	KindBacklog Kind = 8
)
