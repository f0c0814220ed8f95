package memstore

import "amaranthplank.example/amaranthplank/pkg/fault"

// errValueTooLarge rejects a value larger than external.MaxValueBytes.
var errValueTooLarge = fault.New(fault.Invalid, "the value is over one megabyte", "split the value over several keys")
