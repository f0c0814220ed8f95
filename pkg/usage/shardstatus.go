package usage

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// ShardStatus is the reporting progress of one shard.
type ShardStatus struct {
	Shard int `json:"shard"`
	// Reported is the sequence of the last window that the platform accepted,
	// and ReportedUntil its end.
	Reported      uint64    `json:"reported"`
	ReportedUntil time.Time `json:"reportedUntil"`
}

// ReadShardStatuses reads, from the store, the reporting progress of each shard that has
// reported a window.
func ReadShardStatuses(ctx context.Context, store external.Store) ([]ShardStatus, error) {
	heads, err := readHeads(ctx, store)
	if err != nil {
		return nil, err
	}
	statuses := make([]ShardStatus, 0, len(heads))
	for _, head := range heads {
		statuses = append(statuses, ShardStatus{Shard: head.Shard, Reported: head.Reported, ReportedUntil: head.End.Time()})
	}
	return statuses, nil
}
