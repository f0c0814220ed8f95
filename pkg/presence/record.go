package presence

import (
	"encoding/json"
	"strconv"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// KeyPrefix is the key prefix of the daemons' records.
const KeyPrefix external.Key = "hosts/"

// Record describes one incarnation of a daemon.
type Record struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	// Address is where the daemon accepts links from other daemons.
	Address string `json:"address,omitempty"`
}

// key returns the store key of the record.
func (r *Record) key() external.Key {
	incarnation := strconv.FormatUint(uint64(r.Incarnation), 36)
	return KeyPrefix + external.Key(string(r.Host)+"/"+incarnation)
}

// isRecord reports whether a key holds a record.
func isRecord(key external.Key) bool { return strings.HasPrefix(string(key), string(KeyPrefix)) }

// encode returns the record in its stored form.
func (r *Record) encode() ([]byte, error) { return json.Marshal(r) }

// decodeRecord decodes a record.
func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
