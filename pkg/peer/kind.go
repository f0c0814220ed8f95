package peer

// Kind is the kind of a message. A receiver skips unknown kinds.
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
	// KindConfig carries the sender's revisions of the control state, and a part
	// of the control state or a request for newer parts.
	KindConfig Kind = 6
	// KindBurn carries the request counts of service-level objectives.
	KindBurn Kind = 7
	// KindBacklog carries a daemon's outstanding work at engines.
	KindBacklog Kind = 8
	// KindClosedWindow carries a usage window whose counts are fixed.
	KindClosedWindow Kind = 9
	// KindStoreEra carries how often the store has come back from an older copy.
	KindStoreEra Kind = 10
	// KindCrashes carries ends of targets with the prompts under which they ended.
	KindCrashes Kind = 11
	// KindStreamOrigins queries or reports the software versions that began streams.
	KindStreamOrigins Kind = 12
	// KindQuota carries needs and grants of units of workspaces' quotas.
	KindQuota Kind = 13
)
