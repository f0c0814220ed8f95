package memstore

import "amaranthplank.example/amaranthplank/pkg/fault"

// errValueTooLarge refuses a value over the store's bound.
var errValueTooLarge = fault.New(fault.Invalid, "the value is over one megabyte", "split the value over several keys")
