package streamorigin

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// RecordPrefix is the key prefix of the records of the software versions that may have
	// begun streams of models. Each model has its own key, without a lease.
	RecordPrefix external.Key = "stream-versions/"
	// ServiceRecordPrefix is the key prefix of the same records for plain services.
	ServiceRecordPrefix external.Key = "service-stream-versions/"
)

// record holds the software versions of a pool's targets that may have begun streams which
// are still taken up.
type record struct {
	// Era is the store's era in which the versions were complete. After the store came back
	// from an older copy, versions may be missing.
	Era external.Era `json:"era"`
	// Versions are sorted.
	Versions []ident.SoftwareVersion `json:"versions"`
	// RetentionMs is how long streams were remembered when the record was written, in
	// milliseconds. A process that starts later may not know the configuration of that time.
	RetentionMs int64 `json:"retentionMs"`
}

// has reports whether the record holds a version.
func (r *record) has(version ident.SoftwareVersion) bool {
	return slices.Contains(r.Versions, version)
}

// covers reports whether the record has the versions of another one, and at least its retention.
func (r *record) covers(other *record) bool {
	return r.Era == other.Era && slices.Equal(r.Versions, other.Versions) && r.RetentionMs >= other.RetentionMs
}

// maxRetention bounds what a record may state.
const maxRetention = 24 * time.Hour

// retention returns RetentionMs as a duration, at most maxRetention.
func (r *record) retention() time.Duration {
	return time.Duration(min(r.RetentionMs, maxRetention.Milliseconds())) * time.Millisecond
}

// recordKey returns the key of a pool's record.
func recordKey(pool ident.Pool) external.Key {
	if pool.Service != "" {
		return ServiceRecordPrefix + external.Key(pool.Service)
	}
	return RecordPrefix + external.Key(pool.Model)
}

// poolOfKey returns the pool of a record's key, or false for another key.
func poolOfKey(key external.Key) (ident.Pool, bool) {
	if model, ok := strings.CutPrefix(string(key), string(RecordPrefix)); ok {
		return ident.Pool{Model: ident.Model(model)}, true
	}
	service, ok := strings.CutPrefix(string(key), string(ServiceRecordPrefix))
	return ident.Pool{Service: ident.Service(service)}, ok
}

// decodeRecord decodes a record.
func decodeRecord(value []byte) (r record, err error) {
	err = json.Unmarshal(value, &r)
	return r, err
}
