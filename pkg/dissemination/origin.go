package dissemination

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/peer"
)

// origin is what a daemon holds of one origin.
type origin struct {
	instance Instance
	// identified is set once the instance item has arrived.
	identified bool
	// contiguous is the version up to which no bundle is missing, highest the
	// highest version that has arrived. Neither decreases.
	contiguous Version
	highest    Version
	// outOfOrder holds the versions above contiguous that have arrived,
	// maxOutOfOrder at most.
	outOfOrder map[Version]bool
	items      map[ItemID]*itemState
	// sections holds the items whose section is known, by section, except
	// consumption.
	sections map[Section]map[ItemID]*itemState
	// lastSeenAt is when highest last rose.
	lastSeenAt time.Time
	// gapSince is when the current gap was found.
	gapSince time.Time
	// requestedAt and requestCount limit the requests for what is missing.
	requestedAt  time.Time
	requestCount int
}

// itemState is an item's newest value.
type itemState struct {
	key        Key
	value      []byte
	version    Version
	receivedAt time.Time
}

// maxOutOfOrder bounds the versions that are remembered above a gap.
const maxOutOfOrder = 64

// instanceItem is the item that identifies the origin.
const instanceItem ItemID = 0

// newOrigin returns an origin without items.
func newOrigin(now time.Time) *origin {
	return &origin{items: make(map[ItemID]*itemState), sections: make(map[Section]map[ItemID]*itemState), outOfOrder: make(map[Version]bool), lastSeenAt: now}
}

// applyBundle applies a bundle and reports whether it is new.
func (o *origin) applyBundle(now time.Time, b *Bundle) bool {
	full := len(o.outOfOrder) >= maxOutOfOrder && b.Version <= o.highest
	if b.Version <= o.contiguous || o.outOfOrder[b.Version] || full {
		return false
	}
	for i := range b.Items {
		o.setItem(now, &b.Items[i], b.Version)
	}
	o.observeVersion(now, b.Version)
	if len(o.outOfOrder) < maxOutOfOrder || b.Version == o.contiguous+1 {
		o.outOfOrder[b.Version] = true
	}
	o.advance()
	return true
}

// advance raises contiguous over the versions that arrived out of order.
func (o *origin) advance() {
	for o.outOfOrder[o.contiguous+1] {
		o.contiguous++
	}
	for version := range o.outOfOrder {
		if version <= o.contiguous {
			delete(o.outOfOrder, version)
		}
	}
}

// applyRepair applies a repair. It closes a gap only if it starts at or below
// contiguous.
func (o *origin) applyRepair(now time.Time, r *Repair) {
	for i := range r.Items {
		o.setItem(now, &r.Items[i].Item, r.Items[i].Version)
	}
	o.observeVersion(now, r.Version)
	if r.After <= o.contiguous {
		o.contiguous = max(o.contiguous, r.Version)
		o.advance()
	}
}

// observeVersion records that the origin has reached a version.
func (o *origin) observeVersion(now time.Time, version Version) {
	if version > o.highest {
		o.highest, o.lastSeenAt, o.requestCount = version, now, 0
	}
}

// setItem keeps the newer of an item's values.
func (o *origin) setItem(now time.Time, item *Item, version Version) {
	state := o.items[item.ID]
	if state == nil {
		state = new(itemState)
		o.items[item.ID] = state
	}
	if item.Name != "" || item.Section != 0 {
		state.key = Key{item.Section, item.Name}
		o.index(item.ID, state)
	}
	if version <= state.version {
		return
	}
	state.value, state.version, state.receivedAt = item.Value, version, now
	if item.ID == instanceItem && len(item.Value) > 0 {
		o.identified = peer.Decode(item.Value, &o.instance) == nil
	}
}

// index adds an item to its section. Consumption is left out, since there are
// many sums and they are read as they arrive.
func (o *origin) index(id ItemID, state *itemState) {
	if state.key.Section == SectionConsumption {
		return
	}
	if o.sections[state.key.Section] == nil {
		o.sections[state.key.Section] = make(map[ItemID]*itemState)
	}
	o.sections[state.key.Section][id] = state
}

// repairSince returns a repair of the items that changed after a version.
func (o *origin) repairSince(id OriginID, after Version) Repair {
	r := Repair{Origin: id, Version: o.contiguous, After: after}
	for itemID, state := range o.items {
		if state.version > after && state.key.Section != 0 {
			item := Item{ID: itemID, Section: state.key.Section, Name: state.key.Name, Value: state.value}
			r.Items = append(r.Items, RepairItem{Item: item, Version: state.version})
		}
	}
	return r
}

// hasGap reports whether a bundle is known to be missing.
func (o *origin) hasGap() bool { return o.contiguous < o.highest }
