package orders

import "amaranthplank.example/amaranthplank/pkg/fault"

// errMoved says that the journal's entry was changed by another holder.
var errMoved = fault.New(fault.Conflict, "the journal's entry was written by another holder", "read it again and go on from there")
