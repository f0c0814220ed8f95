package targetwatch

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// decoded keeps the decoded values of items, so that only changed ones are
// read again.
type decoded[T any] struct {
	values map[itemKey]decodedValue[T]
}

// itemKey names an item of one life.
type itemKey struct {
	life dissemination.Life
	name string
}

// decodedValue is a value with the time that it came at.
type decodedValue[T any] struct {
	at    time.Time
	value T
	ok    bool
}

// maxDecoded bounds the values that are kept.
const maxDecoded = 8192

// get returns an item's value, or false for a malformed one.
func (d *decoded[T]) get(item *dissemination.StoredItem) (T, bool) {
	key := itemKey{item.Life, item.Name}
	if known, ok := d.values[key]; ok && known.at.Equal(item.At) {
		return known.value, known.ok
	}
	fresh := decodedValue[T]{at: item.At}
	fresh.ok = peer.Decode(item.Value, &fresh.value) == nil
	if d.values == nil || len(d.values) >= maxDecoded {
		d.values = make(map[itemKey]decodedValue[T])
	}
	d.values[key] = fresh
	return fresh.value, fresh.ok
}
