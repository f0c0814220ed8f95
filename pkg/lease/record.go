package lease

import (
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// KeyPrefix starts the keys of the duties.
const KeyPrefix external.Key = "duty/"

// KeyOf returns the key that names a duty's holder. The key is bound to the
// holder's lease, so it exists only while the duty is held. Its version is the
// holder's fencing number: the store's versions of a key rise with every write
// and go on rising after the key was deleted, so the number never falls.
func KeyOf(duty ident.Duty) external.Key { return KeyPrefix + external.Key(duty) }

// Record is the value of a duty's key.
type Record struct {
	Writer Writer `json:"writer"`
	// FailureDomain is where the holder stands, for operators to read.
	FailureDomain ident.FailureDomain `json:"failureDomain"`
}

// Writer identifies one write of one process, so that a write whose answer was
// lost is known again when it is read back.
type Writer struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Sequence rises with each distinct write of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// SameProcess reports whether two writes come from the same life of a process.
func (w Writer) SameProcess(other Writer) bool {
	return w.Host == other.Host && w.Incarnation == other.Incarnation
}

// encode returns the record as the store keeps it.
func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

// decodeRecord reads a duty's value.
func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
