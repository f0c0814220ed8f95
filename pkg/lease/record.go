package lease

import (
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// KeyPrefix is the prefix of all duty keys.
const KeyPrefix external.Key = "duty/"

// KeyOf returns the key whose value names a duty's holder. The key is bound to
// the holder's lease, so it exists only while the duty is held. Its version is
// the holder's fencing token: versions rise with every write, also across deletion and
// over the store's eras, so the token never decreases.
func KeyOf(duty ident.Duty) external.Key { return KeyPrefix + external.Key(duty) }

// Record is the value of a duty's key.
type Record struct {
	Writer Writer `json:"writer"`
	// FailureDomain is the holder's failure domain, for operators only.
	FailureDomain ident.FailureDomain `json:"failureDomain"`
}

// Writer identifies one write of one process, so that a write whose response was
// lost is recognized when it is read back.
type Writer struct {
	Host        ident.Host        `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Sequence increases with each distinct write of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// SameProcess reports whether both writes come from the same incarnation of the
// same host.
func (w Writer) SameProcess(other Writer) bool {
	return w.Host == other.Host && w.Incarnation == other.Incarnation
}

// encode returns the record as it is stored.
func (r Record) encode() ([]byte, error) { return json.Marshal(r) }

// decodeRecord decodes the value of a duty's key.
func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
