package dissemination

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/peer"
)

// origin is what a daemon holds of one origin.
type origin struct {
	life Life
	// known is set once the life item has come.
	known bool
	// whole is the version up to which nothing is missing, seen the highest
	// version that has come. Neither goes back.
	whole Version
	seen  Version
	// early holds the versions above whole that have come, maxEarly at most.
	early map[Version]bool
	items map[ItemID]*held
	// sections holds the items whose section is known, by section, except
	// consumption.
	sections map[Section]map[ItemID]*held
	// heardAt is when seen last rose.
	heardAt time.Time
	// gapAt is when the present gap was found.
	gapAt time.Time
	// askedAt and asks pace the questions for what is missing.
	askedAt time.Time
	asks    int
}

// held is an item's newest value.
type held struct {
	key     Key
	value   []byte
	version Version
	at      time.Time
}

// maxEarly bounds the versions that are remembered ahead of a gap.
const maxEarly = 64

// lifeItem is the item that names the origin.
const lifeItem ItemID = 0

// newOrigin returns an origin without items.
func newOrigin(now time.Time) *origin {
	return &origin{items: make(map[ItemID]*held), sections: make(map[Section]map[ItemID]*held), early: make(map[Version]bool), heardAt: now}
}

// take puts a bundle in and reports whether it is news.
func (o *origin) take(now time.Time, b *Bundle) bool {
	full := len(o.early) >= maxEarly && b.Version <= o.seen
	if b.Version <= o.whole || o.early[b.Version] || full {
		return false
	}
	for i := range b.Items {
		o.set(now, &b.Items[i], b.Version)
	}
	o.hear(now, b.Version)
	if len(o.early) < maxEarly || b.Version == o.whole+1 {
		o.early[b.Version] = true
	}
	o.advance()
	return true
}

// advance raises whole over the versions that came early.
func (o *origin) advance() {
	for o.early[o.whole+1] {
		o.whole++
	}
	for version := range o.early {
		if version <= o.whole {
			delete(o.early, version)
		}
	}
}

// repair puts a repair in.
func (o *origin) repair(now time.Time, r *Repair) {
	for i := range r.Items {
		o.set(now, &r.Items[i].Item, r.Items[i].Version)
	}
	o.hear(now, r.Version)
	if r.After <= o.whole {
		o.whole = max(o.whole, r.Version)
		o.advance()
	}
}

// hear notes that the origin has reached a version.
func (o *origin) hear(now time.Time, version Version) {
	if version > o.seen {
		o.seen, o.heardAt, o.asks = version, now, 0
	}
}

// set keeps the newer of an item's values.
func (o *origin) set(now time.Time, item *Item, version Version) {
	h := o.items[item.ID]
	if h == nil {
		h = new(held)
		o.items[item.ID] = h
	}
	if item.Name != "" || item.Section != 0 {
		h.key = Key{item.Section, item.Name}
		o.index(item.ID, h)
	}
	if version <= h.version {
		return
	}
	h.value, h.version, h.at = item.Value, version, now
	if item.ID == lifeItem && len(item.Value) > 0 {
		o.known = peer.Decode(item.Value, &o.life) == nil
	}
}

// index files an item under its section. Consumption is not filed, since it is
// much and is read as it comes.
func (o *origin) index(id ItemID, h *held) {
	if h.key.Section == SectionConsumption {
		return
	}
	if o.sections[h.key.Section] == nil {
		o.sections[h.key.Section] = make(map[ItemID]*held)
	}
	o.sections[h.key.Section][id] = h
}

// since returns the items that changed after a version, in the form of a
// repair.
func (o *origin) since(id OriginID, after Version) Repair {
	r := Repair{Origin: id, Version: o.whole, After: after}
	for itemID, h := range o.items {
		if h.version > after && h.key.Section != 0 {
			item := Item{ID: itemID, Section: h.key.Section, Name: h.key.Name, Value: h.value}
			r.Items = append(r.Items, RepairItem{Item: item, Version: h.version})
		}
	}
	return r
}

// gap reports whether a bundle is known to be missing.
func (o *origin) gap() bool { return o.whole < o.seen }
