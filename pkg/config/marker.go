package config

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// readMarker returns the revisions that the marker in the store names, and the
// marker's version. If there is no marker, the revisions are zero.
func readMarker(ctx context.Context, store external.Store) (Revisions, external.Version, error) {
	var marker Revisions
	entry, err := store.Get(ctx, MarkerKey)
	if errors.Is(err, external.ErrKeyNotFound) {
		return marker, external.NoVersion, nil
	}
	if err != nil {
		return marker, 0, err
	}
	if err := json.Unmarshal(entry.Value, &marker); err != nil {
		return marker, 0, fault.Wrap(err, fault.Invalid, "the configuration marker in the store is malformed", "delete the store key "+string(MarkerKey))
	}
	return marker, entry.Version, nil
}

// maxMarkerAttempts bounds the attempts to advance the marker while other writers
// change it.
const maxMarkerAttempts = 8

// advanceMarker advances the marker in the store to at least the given revisions.
// Concurrent writers do no harm, since each only advances it and a lost response
// is followed by another read.
func advanceMarker(ctx context.Context, store external.Store, to Revisions) error {
	var last error
	for range maxMarkerAttempts {
		marker, version, err := readMarker(ctx, store)
		if err != nil {
			return err
		}
		if marker.Covers(to) {
			return nil
		}
		value, err := json.Marshal(marker.merge(to))
		if err != nil {
			return errors.Wrap(err, "encode the configuration marker")
		}
		_, last = store.CompareAndSwap(ctx, external.Swap{Key: MarkerKey, Base: version, Value: value})
		if last == nil {
			return nil
		}
		if kind := fault.KindOf(last); kind != fault.Conflict && kind != fault.Unknown {
			return last
		}
	}
	return last
}
