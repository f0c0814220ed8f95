package config

import "amaranthplank.example/amaranthplank/pkg/external"

// StoreKey is the store key of the configuration. The version of its entry is the
// configuration's revision.
const StoreKey external.Key = "config/current"

// HoldsKey is the store key of the holds. The version of its entry is the holds'
// revision.
const HoldsKey external.Key = "config/holds"

// KeyPrefix is the common prefix of the keys, so that one watch covers them all.
const KeyPrefix external.Key = "config/"

// MarkerKey is the store key of the marker, which names the newest revisions, so
// that a daemon can confirm its own revisions by reading a few bytes. The marker
// is advanced after a change is written and before the change is accepted.
const MarkerKey external.Key = "config/marker"
