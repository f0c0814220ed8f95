package config

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// readMarker returns the newest revisions that the store's marker names, and
// the marker's version. A marker that does not exist names none.
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
		return marker, 0, fault.Wrap(err, fault.Invalid, "the store's marker is malformed", "remove the key "+string(MarkerKey))
	}
	return marker, entry.Version, nil
}

// markerTries bounds the attempts to raise the marker against other writers.
const markerTries = 8

// raiseMarker raises the store's marker to the revisions. Writers race without
// harm, since each only raises it and a lost answer is followed by a read.
func raiseMarker(ctx context.Context, store external.Store, to Revisions) error {
	var last error
	for range markerTries {
		marker, version, err := readMarker(ctx, store)
		if err != nil {
			return err
		}
		if marker.Covers(to) {
			return nil
		}
		value, err := json.Marshal(marker.raise(to))
		if err != nil {
			return errors.Wrap(err, "encode the marker")
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
