package claims

// operation is one change to a shard.
type operation struct {
	key digest
	// claim is what the operation sets. Its id must stand in the shard unless
	// the operation takes the key.
	claim Claim
	kind  operationKind
	// done takes the result. It has room for it; nil where nobody waits.
	done chan result
}

// operationKind says what an operation does.
type operationKind int

const (
	// take claims a key that is free.
	take operationKind = iota
	// settle records the outcome of a claim.
	settle
	// drop frees a key whose request was not run.
	drop
)

// result is what became of an operation.
type result struct {
	// found is the claim that holds the key, where it is another's.
	found *Claim
	err   error
}

// reply hands the result to who waits for it.
func (o *operation) reply(r result) {
	if o.done != nil {
		o.done <- r
	}
}
