package quota

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// holder holds the units of one workspace that this daemon may use, and the requests that
// wait for units. It is not safe for concurrent use.
type holder struct {
	workspace ident.Workspace
	limit     Limit
	lots      []lot
	// debt are units that were used before a keeper granted them.
	debt    float64
	waiting []*Claim
	keepers []*keeperLink
	// hostsVersion is the version of the hosts to which keepers belongs.
	hostsVersion int
	// demand is the rate of the requests' units, per second.
	demand demandMeter
	usedAt time.Time
	// noWaitUntil is set if a request has waited for units in vain.
	noWaitUntil time.Time
	// grantedAt is when the last grant arrived.
	grantedAt time.Time
	// used counts the units that admitted requests have used, granted those of grants.
	used, granted float64
}

// lot are units of one grant.
type lot struct {
	amount  float64
	expires time.Time
	keeper  *keeperLink
	epoch   uint64
}

// keeperLink is what a holder knows of one keeper.
type keeperLink struct {
	host ident.Host
	// pendingID is the need that the keeper has not answered, or zero. pendingLeast is its
	// Least, and sentAt when the last need was sent.
	pendingID    uint64
	pendingLeast float64
	sentAt       time.Time
	// silentUntil is set if a need was not answered.
	silentUntil time.Time
	// deniedUntil and deniedLeast are set by a denial: until then the keeper has no
	// deniedLeast units. wait is the time that the keeper stated.
	deniedUntil time.Time
	deniedLeast float64
	wait        time.Duration
	// returned are unused units of the keeper's process epoch that go back to it.
	returned float64
	epoch    uint64
}

const (
	// answerTimeout is how long a keeper's answer is waited for.
	answerTimeout = 250 * time.Millisecond
	// silentPause is how long a keeper that did not answer is left out.
	silentPause = time.Second
)

// setLimit sets the limit. Under another one denials no longer hold, and units of another
// kind are void.
func (h *holder) setLimit(limit Limit) {
	if h.limit == limit {
		return
	}
	if h.limit.Unit != limit.Unit {
		h.lots, h.debt = nil, 0
	}
	h.limit = limit
	for _, k := range h.keepers {
		k.deniedUntil = time.Time{}
	}
}

// expire takes away the units whose lease is over, and records that they go back.
func (h *holder) expire(now time.Time) {
	h.lots = slices.DeleteFunc(h.lots, func(l lot) bool {
		over := !now.Before(l.expires)
		if over {
			l.keeper.giveBack(l.amount, l.epoch)
		}
		return over
	})
}

// giveBack records units to be returned. Those of an earlier process are void.
func (k *keeperLink) giveBack(amount float64, epoch uint64) {
	if k.epoch != epoch {
		k.epoch, k.returned = epoch, 0
	}
	k.returned += amount
}

// held returns the units of all lots.
func (h *holder) held() (sum float64) {
	for _, l := range h.lots {
		sum += l.amount
	}
	return sum
}

// take uses units if the lots and the credit suffice.
func (h *holder) take(cost, credit float64) bool {
	if missing := cost - h.held(); missing > 0 && h.debt+missing > credit {
		return false
	}
	h.charge(cost)
	return true
}

// charge uses units, from the lots that expire first. What the lots lack becomes a debt.
func (h *holder) charge(cost float64) {
	h.used += cost
	for cost > 0 && len(h.lots) > 0 {
		used := min(cost, h.lots[0].amount)
		h.lots[0].amount -= used
		cost -= used
		if h.lots[0].amount <= 0 {
			h.lots = h.lots[1:]
		}
	}
	h.debt += cost
}

// refund returns the units of a request that no target has run: to the debt, and the rest
// to the keeper that ranks first.
func (h *holder) refund(cost float64) {
	h.used -= cost
	paid := min(h.debt, cost)
	h.debt -= paid
	for _, k := range h.keepers {
		if k.epoch != 0 {
			k.returned += cost - paid
			return
		}
	}
}

// add adds granted units, after the debt is paid. Those that arrive after their lease go
// back.
func (h *holder) add(l lot, now time.Time) {
	h.granted += l.amount
	h.grantedAt = now
	paid := min(h.debt, l.amount)
	h.debt -= paid
	l.amount -= paid
	if l.amount <= 0 {
		return
	}
	if !now.Before(l.expires) {
		l.keeper.giveBack(l.amount, l.epoch)
		return
	}
	h.lots = append(h.lots, l)
	slices.SortStableFunc(h.lots, func(a, b lot) int { return a.expires.Compare(b.expires) })
}

// wanted returns how many units the holder can use, and the fewest that help it.
func (h *holder) wanted(lease time.Duration, credit float64) (amount, least float64) {
	held := h.held()
	amount = h.debt - held
	for _, c := range h.waiting {
		amount += c.cost
		if needed := c.cost + h.debt - held; least == 0 || needed < least {
			least = needed
		}
	}
	least = max(0, least)
	if ahead := h.demand.rate * lease.Seconds() / 2; ahead >= max(h.demand.largest, credit) {
		amount += ahead
	}
	return max(0, amount), least
}

// demandMeter measures the rate of units as a moving average.
type demandMeter struct {
	rate float64
	// sum are the units since, and largest the largest single cost of late.
	sum, largest float64
	since        time.Time
}

// demandInterval is the time over which units are summed, demandWeight the weight of one
// such interval in the average.
const (
	demandInterval = 200 * time.Millisecond
	demandWeight   = 0.3
)

// add counts units of a request.
func (m *demandMeter) add(cost float64, now time.Time) {
	m.advance(now)
	m.sum += cost
	m.largest = max(m.largest, cost)
}

// advance includes the completed intervals in the average.
func (m *demandMeter) advance(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	elapsed := now.Sub(m.since)
	if elapsed < demandInterval {
		return
	}
	m.rate += demandWeight * (m.sum/elapsed.Seconds() - m.rate)
	m.largest *= 1 - demandWeight/2
	m.sum, m.since = 0, now
}
