package overload

const (
	// ownBytes is what the process itself may need with links to all daemons of a large fleet.
	ownBytes = 32 << 20
	// collectedShare is the part of the process's memory up to which the heap is collected in time.
	collectedShare = 0.8
	// leastShare is the part of a small process's memory that callers may use all the same.
	leastShare = 0.5

	// The parts of what callers may use.
	connectionShare = 0.10
	headShare       = 0.05
	requestShare    = 0.25
	bodyShare       = 0.35

	// The parts of the descriptors that each port's connections may take, and requests, each of which
	// may have a connection to a target. The others are for the store, other daemons and files.
	callerDescriptors   = 0.4
	requestDescriptors  = 0.25
	peerDescriptors     = 0.125
	operatorDescriptors = 0.03125

	// connectionBytes is what a connection takes at most besides its request's head and body: the
	// stack of its goroutine and the buffers in both directions.
	connectionBytes = 12 << 10
	// requestBytes is what a request takes at most besides its head and body.
	requestBytes = 40 << 10
	// multiplexedUnits is how many connections one over HTTP/2 counts as: it has a window for
	// bodies, a frame and a head block of its own.
	multiplexedUnits = 16
	// multiplexedShare is the part of a port's connections that those over HTTP/2 may take.
	multiplexedShare = 0.5

	// routeShare is the part of a class that the requests of one route may take.
	routeShare = 0.75
)

// Limits are the sizes of a Budget. Zero sets no limit.
type Limits struct {
	// CallerConnections, OperatorConnections and PeerConnections are the most connections at each
	// port. The readiness port has as many as that of operators.
	CallerConnections, OperatorConnections, PeerConnections int
	// HeadBytes, RequestBytes and BodyBytes are the most bytes of heads that are being read, of
	// requests with their heads, and of bodies.
	HeadBytes, RequestBytes, BodyBytes int64
}

// LimitsFor returns the limits of a process that may have the given memory and descriptors. Zero
// means that one of them is not known.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	usable := max(collectedShare*float64(memoryBytes)-ownBytes, leastShare*float64(memoryBytes))
	if memoryBytes == 0 {
		usable = 0
	}
	count := func(share float64) int { return int(share * float64(descriptors)) }
	return Limits{
		CallerConnections:   least(count(callerDescriptors), int(connectionShare*usable/connectionBytes)),
		OperatorConnections: count(operatorDescriptors),
		PeerConnections:     count(peerDescriptors),
		HeadBytes:           int64(headShare * usable),
		RequestBytes:        least(int64(requestShare*usable), int64(count(requestDescriptors))*requestBytes),
		BodyBytes:           int64(bodyShare * usable),
	}
}

// least returns the smaller of two limits, of which zero is none.
func least[T int | int64](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
