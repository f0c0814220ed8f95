package targetwatch

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// decodeCache caches the decoded values of items, so that only changed items are
// decoded again.
type decodeCache[T any] struct {
	values map[itemKey]cachedValue[T]
}

// itemKey identifies an item by the process that published it and its name.
type itemKey struct {
	publisher dissemination.Instance
	name      string
}

// cachedValue is a decoded value with the arrival time of its item. ok is false if
// the item is malformed.
type cachedValue[T any] struct {
	arrivedAt time.Time
	value     T
	ok        bool
}

// maxCachedValues bounds the cache, which is emptied when it is full.
const maxCachedValues = 8192

// get returns an item's value, or false for a malformed one.
func (d *decodeCache[T]) get(item *dissemination.StoredItem) (T, bool) {
	key := itemKey{item.Instance, item.Name}
	if cached, ok := d.values[key]; ok && cached.arrivedAt.Equal(item.At) {
		return cached.value, cached.ok
	}
	fresh := cachedValue[T]{arrivedAt: item.At}
	fresh.ok = peer.Decode(item.Value, &fresh.value) == nil
	if d.values == nil || len(d.values) >= maxCachedValues {
		d.values = make(map[itemKey]cachedValue[T])
	}
	d.values[key] = fresh
	return fresh.value, fresh.ok
}
