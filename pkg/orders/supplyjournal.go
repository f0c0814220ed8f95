package orders

import (
	"context"
	"encoding/json"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// supplyJournal reads and writes the records of target orders under one
// authority.
type supplyJournal struct {
	writer    *entryWriter
	authority lease.Authority
}

// load returns all records by group.
func (j *supplyJournal) load(ctx context.Context) (map[SupplyGroup]SupplyRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, j.writer.timeout)
	defer cancel()
	entries, err := j.writer.store.List(ctx, prefixOf(j.authority.Duty()))
	if err != nil {
		return nil, err
	}
	records := make(map[SupplyGroup]SupplyRecord, len(entries))
	for _, entry := range entries {
		var record SupplyRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return nil, err
		}
		record.version = entry.Version
		records[groupOf(record.Order)] = record
	}
	return records, nil
}

// write stamps a record and writes it if the entry still has the version that
// the record was read at.
func (j *supplyJournal) write(ctx context.Context, record SupplyRecord) (SupplyRecord, error) {
	record.Duty = j.authority.Duty()
	record.Order.Fencing = j.authority.Fencing()
	record.Writer = j.writer.stamp()
	record.WrittenAt = time.Now()
	value, err := json.Marshal(record)
	if err != nil {
		return record, err
	}
	key := groupOf(record.Order).key(record.Duty)
	swap := external.Swap{Key: key, Base: record.version, Value: value}
	version, err := j.writer.write(ctx, j.authority, swap, func(found []byte) bool {
		var other SupplyRecord
		return json.Unmarshal(found, &other) == nil && other.Writer == record.Writer
	})
	if err != nil {
		return record, err
	}
	record.version = version
	return record, nil
}
