package claims

// operation is a change to one claim of a shard.
type operation struct {
	key digest
	// claim is the new value of the claim. Except for opAcquire, the operation
	// has no effect unless the stored claim has the same ID.
	claim Claim
	kind  operationKind
	// done receives the result and must be buffered; nil if no caller waits.
	done chan result
}

// operationKind is the kind of an operation.
type operationKind int

const (
	// opAcquire claims a key that has no claim.
	opAcquire operationKind = iota
	// opSettle records the outcome of a claim.
	opSettle
	// opRelease deletes the claim of a request that was not run.
	opRelease
)

// result is the result of an operation.
type result struct {
	// existing is the key's claim if it belongs to another submission.
	existing *Claim
	err      error
}

// reply sends the result to the waiting caller, if any.
func (o *operation) reply(r result) {
	if o.done != nil {
		o.done <- r
	}
}
