package orders

import (
	"context"
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// journal reads and writes the records of one duty under one authority.
type journal struct {
	writer    *entryWriter
	authority lease.Authority
}

// load returns all records of the duty.
func (j *journal) load(ctx context.Context) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, j.writer.timeout)
	defer cancel()
	entries, err := j.writer.store.List(ctx, prefixOf(j.authority.Duty()))
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

// reload reads one record from the store.
func (j *journal) reload(ctx context.Context, name ident.Target) (Record, error) {
	entry, err := j.writer.read(ctx, keyOf(j.authority.Duty(), name))
	if err != nil || entry.Version == external.NoVersion {
		return Record{Target: name, Phase: PhaseAbandoned}, err
	}
	return decode(entry)
}

// write stamps a record and writes it if the entry still has the version that
// the record was read at. It fails with errConflict if another holder has
// written in between.
func (j *journal) write(ctx context.Context, record Record) (Record, error) {
	record.Duty = j.authority.Duty()
	record.Fencing = j.authority.Fencing()
	record.Writer = j.writer.stamp()
	return j.put(ctx, record)
}

// stampSend returns the record that journals the next send of an order.
func (j *journal) stampSend(record Record) Record {
	record.Duty = j.authority.Duty()
	record.Fencing = j.authority.Fencing()
	record.Writer = j.writer.stamp()
	record.Sender, record.SendEnded = record.Writer, false
	return record
}

// writeOutcome writes the outcome of this process's own send over the entry that
// journaled the send. It records a fact, not a decision, so it needs no
// authority; the swap fails if a successor has changed the entry. done is false
// if the call must be repeated. That includes an entry that does not show the
// send and is not newer than the record's version, since an unconfirmed write
// that journals the send may still take effect.
func (j *journal) writeOutcome(ctx context.Context, record Record) (done bool) {
	entry, err := j.writer.read(ctx, keyOf(record.Duty, record.Target))
	if err != nil {
		return false
	}
	current, err := decode(entry)
	if entry.Version == external.NoVersion || err != nil {
		return true
	}
	if current.Sender != record.Sender || current.Phase != PhaseSent {
		return current.version > record.version
	}
	record.version = current.version
	record.Writer = j.writer.stamp()
	unchecked := &journal{writer: j.writer, authority: uncheckedAuthority{j.authority}}
	_, err = unchecked.put(ctx, record)
	return err == nil || fault.KindOf(err) == fault.Conflict
}

// put writes a stamped record by compare-and-swap.
func (j *journal) put(ctx context.Context, record Record) (Record, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return record, err
	}
	swap := external.Swap{Key: keyOf(record.Duty, record.Target), Base: record.version, Value: value}
	version, err := j.writer.write(ctx, j.authority, swap, func(found []byte) bool {
		var other Record
		return json.Unmarshal(found, &other) == nil && other.Writer == record.Writer
	})
	if err != nil {
		return record, err
	}
	record.version = version
	return record, nil
}

// decode decodes a record from its store entry.
func decode(entry external.Entry) (Record, error) {
	var record Record
	err := json.Unmarshal(entry.Value, &record)
	record.version = entry.Version
	return record, err
}
