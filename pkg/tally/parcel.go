package tally

// Parcel is a checkpoint on its way to another daemon.
type Parcel struct {
	// Checkpoint is the checkpoint as the store keeps it.
	Checkpoint []byte
	// Refused says that the sender could not write it itself. Else it is only
	// kept, in case the sender falls silent.
	Refused bool
}
