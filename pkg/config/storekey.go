package config

import "amaranthplank.example/amaranthplank/pkg/platform"

// StoreKey is where the accepted configuration stands in the store. Its
// version is the revision.
const StoreKey platform.Key = "config/current"
