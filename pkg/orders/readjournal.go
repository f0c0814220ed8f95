package orders

import (
	"context"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// ReadJournal returns the journaled orders to engines, sorted by key. Any
// process may call it. The status has no step, and no reason why an open order
// waits, since only the holder determines those.
func ReadJournal(ctx context.Context, store external.Store) ([]OrderStatus, error) {
	entries, err := store.List(ctx, KeyPrefix+external.Key(duty.Engines("")))
	if err != nil {
		return nil, err
	}
	list := make([]OrderStatus, 0, len(entries))
	for _, entry := range entries {
		record, err := decode(entry)
		if err != nil {
			return nil, err
		}
		list = append(list, statusOf(record, Decision{}))
	}
	return list, nil
}
