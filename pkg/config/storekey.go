package config

import "amaranthplank.example/amaranthplank/pkg/external"

// StoreKey is where the accepted configuration stands in the store. Its
// version is the revision.
const StoreKey external.Key = "config/current"

// HoldsKey is where the holds stand in the store. Its version is the holds'
// revision.
const HoldsKey external.Key = "config/holds"

// KeyPrefix starts the keys, so that one watch follows them.
const KeyPrefix external.Key = "config/"

// MarkerKey is where the newest revisions stand in the store, so that a daemon
// can confirm its own by a read of a few bytes. It is raised after a change was
// written and before the change is accepted.
const MarkerKey external.Key = "config/marker"
