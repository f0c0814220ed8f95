package targetlimit

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/rendezvous"
)

const (
	// usedShare is the part of a stated rate that is used. The rest allows for hosts
	// that disagree for a moment about who has a seat.
	usedShare = 0.9
	// leastRate is the rate, in requests per second, that is sent to a target that
	// states zero or almost zero: the end of its limit is detected from answers only.
	leastRate = 0.2
)

// usedRate returns the rate, in requests per second, that all daemons together use of a
// stated one.
func usedRate(perSecond float64) float64 { return max(leastRate, usedShare*perSecond) }

// seatCount returns into how many seats a stated rate is divided: not more than hosts,
// and few enough that one request from each is within what the target takes in a second.
func seatCount(perSecond float64, hosts int) int {
	return int(min(math.Floor(perSecond)+1, float64(max(1, hosts))))
}

// seatRank returns how many of the hosts come before one in the order in which they get
// the seats of a target.
func seatRank(target ident.Target, self ident.Host, hosts []ident.Host) (rank int) {
	own := rendezvous.Weight(string(target), self)
	for _, host := range hosts {
		weight := rendezvous.Weight(string(target), host)
		if weight > own || (weight == own && host < self) {
			rank++
		}
	}
	return rank
}
