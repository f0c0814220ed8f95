package wire

// Paths of the platform's calls.
const (
	PathGet       = "/store/get"
	PathList      = "/store/list"
	PathSwap      = "/store/swap"
	PathDelete    = "/store/delete"
	PathGrant     = "/store/grant"
	PathKeepAlive = "/store/keepalive"
	PathRevoke    = "/store/revoke"
	PathWatch     = "/store/watch"
	PathReport    = "/usage/report"
	PathReports   = "/usage/reports"
	PathOrder     = "/targets/order"
	PathOrders    = "/targets/orders"
	PathTargets   = "/targets/list"
	PathHosts     = "/hosts/list"
	PathReserve   = "/weights/reserve"
	// PathSetHosts sets the host list of the stand-in.
	PathSetHosts = "/hosts/set"
	// PathReclaim makes the stand-in reclaim targets.
	PathReclaim = "/targets/reclaim"
	// PathFaults sets the injected faults of the store's stand-in.
	PathFaults = "/store/faults"
)
