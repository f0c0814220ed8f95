package orders

import (
	"context"
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// journal keeps the records of one duty under one authority.
type journal struct {
	scribe    *scribe
	authority lease.Authority
}

// load returns all records of the duty.
func (j *journal) load(ctx context.Context) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, j.scribe.timeout)
	defer cancel()
	entries, err := j.scribe.store.List(ctx, prefixOf(j.authority.Duty()))
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		record, err := decode(entry)
		if err != nil {
			return nil, err
		}
		if record.Duty == j.authority.Duty() {
			records = append(records, record)
		}
	}
	return records, nil
}

// reload returns one record as it stands in the store now.
func (j *journal) reload(ctx context.Context, name ident.Target) (Record, error) {
	entry, err := j.scribe.read(ctx, keyOf(j.authority.Duty(), name))
	if err != nil || entry.Version == external.NoVersion {
		return Record{Target: name, Phase: PhaseAbandoned}, err
	}
	return decode(entry)
}

// write writes a record over the version that it was read at. It fails with
// errMoved where another holder wrote in between.
func (j *journal) write(ctx context.Context, record Record) (Record, error) {
	record.Duty = j.authority.Duty()
	record.Fencing = j.authority.Fencing()
	record.Writer = j.scribe.stamp()
	return j.put(ctx, record)
}

// stampSend prepares the record of an order that is sent next.
func (j *journal) stampSend(record Record) Record {
	record.Duty = j.authority.Duty()
	record.Fencing = j.authority.Fencing()
	record.Writer = j.scribe.stamp()
	record.Sender, record.SendEnded = record.Writer, false
	return record
}

// state writes what a sender says of its own sending, over the very entry that
// it was journalled by. That is a fact and no decision, so it needs no
// authority; the swap fails where a successor has gone on. settled is set once
// there is nothing more to state. While the entry still stands where the
// sending was to be journalled, that write may yet take effect.
func (j *journal) state(ctx context.Context, record Record) (settled bool) {
	entry, err := j.scribe.read(ctx, keyOf(record.Duty, record.Target))
	if err != nil {
		return false
	}
	found, err := decode(entry)
	if entry.Version == external.NoVersion || err != nil {
		return true
	}
	if found.Sender != record.Sender || found.Phase != PhaseSent {
		return found.version > record.version
	}
	record.version = found.version
	record.Writer = j.scribe.stamp()
	plain := &journal{scribe: j.scribe, authority: statement{j.authority}}
	_, err = plain.put(ctx, record)
	return err == nil || fault.KindOf(err) == fault.Conflict
}

// put swaps a stamped record in.
func (j *journal) put(ctx context.Context, record Record) (Record, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return record, err
	}
	swap := external.Swap{Key: keyOf(record.Duty, record.Target), Base: record.version, Value: value}
	version, err := j.scribe.write(ctx, j.authority, swap, func(found []byte) bool {
		var other Record
		return json.Unmarshal(found, &other) == nil && other.Writer == record.Writer
	})
	if err != nil {
		return record, err
	}
	record.version = version
	return record, nil
}

// decode reads a record from its entry.
func decode(entry external.Entry) (Record, error) {
	var record Record
	err := json.Unmarshal(entry.Value, &record)
	record.version = entry.Version
	return record, err
}
