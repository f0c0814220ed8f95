package presence

import (
	"encoding/json"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// KeyPrefix starts the daemons' keys.
const KeyPrefix external.Key = "hosts/"

// Record is what one life of a daemon says of itself.
type Record struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	// Address is where the daemon takes links from others.
	Address string `json:"address,omitempty"`
}

// key returns where the record stands.
func (r *Record) key() external.Key {
	life := strconv.FormatUint(uint64(r.Incarnation), 36)
	return KeyPrefix + external.Key(string(r.Host)+"/"+life)
}

// isRecord reports whether a key is a daemon's.
func isRecord(key external.Key) bool { return strings.HasPrefix(string(key), string(KeyPrefix)) }

// encode returns the record as the store keeps it.
func (r *Record) encode() ([]byte, error) { return json.Marshal(r) }

// decodeRecord reads a record.
func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
