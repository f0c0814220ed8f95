package config

import "amaranthplank.example/amaranthplank/pkg/platform"

// StoreKey is where the accepted configuration stands in the store. Its
// version is the revision.
const StoreKey platform.Key = "config/current"

// HoldsKey is where the holds stand in the store. Its version is the holds'
// revision.
const HoldsKey platform.Key = "config/holds"

// KeyPrefix starts both keys, so that one watch follows them.
const KeyPrefix platform.Key = "config/"
