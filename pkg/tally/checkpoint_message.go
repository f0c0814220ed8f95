package tally

// CheckpointMessage is the message that hands a checkpoint to another daemon.
type CheckpointMessage struct {
	// Checkpoint is the encoded checkpoint, as in the store.
	Checkpoint []byte
	// Refused is set if the sender could not write the checkpoint itself.
	// Otherwise the receiver writes it only if the sender stops sending.
	Refused bool
	// Hops is how often the checkpoint was passed on by daemons that the store
	// refused too.
	Hops int
}
