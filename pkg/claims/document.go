package claims

import (
	"encoding/json"
	"maps"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Document is the value of one shard.
type Document struct {
	Claims map[digest]Claim `json:"claims"`
}

// maxClaims bounds the claims of one shard, so that its value stays under the
// store's bound with every answer at its largest.
const maxClaims = 256

// errFull says that a shard has no room.
var errFull = fault.New(fault.Limited, "too many idempotency keys are remembered", "send the request again after the time in Retry-After").After(time.Minute)

// parseDocument reads a shard's value; an empty one holds nothing.
func parseDocument(value []byte) (*Document, error) {
	d := &Document{Claims: make(map[digest]Claim)}
	if len(value) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(value, d); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "a shard of claims is malformed", "delete the key claims/ of the shard, which forgets its claims")
	}
	return d, nil
}

// apply returns the document after the operations and each one's result. The
// same document is returned where nothing changes. Applying an operation again
// gives the same result, so that a lost answer is read back by trying again.
func (d *Document) apply(operations []operation, now time.Time) (*Document, []result) {
	next := &Document{Claims: make(map[digest]Claim, len(d.Claims)+len(operations))}
	maps.Copy(next.Claims, d.Claims)
	maps.DeleteFunc(next.Claims, func(_ digest, claim Claim) bool { return now.After(claim.Until) })
	results := make([]result, len(operations))
	changed := false
	for i := range operations {
		did, r := next.applyOne(&operations[i])
		changed = changed || did
		results[i] = r
	}
	if !changed {
		return d, results
	}
	return next, results
}

// applyOne applies one operation in place and reports whether it changed
// anything.
func (d *Document) applyOne(o *operation) (bool, result) {
	held, ok := d.Claims[o.key]
	own := ok && held.ID == o.claim.ID
	switch {
	case o.kind == take && own:
		return false, result{}
	case o.kind == take && ok:
		return false, result{found: &held}
	case o.kind == take && len(d.Claims) >= maxClaims:
		return false, result{err: errFull}
	case o.kind == take:
		d.Claims[o.key] = o.claim
		return true, result{}
	case !own:
		return false, result{}
	case o.kind == drop:
		delete(d.Claims, o.key)
		return true, result{}
	}
	if held.State == o.claim.State {
		return false, result{}
	}
	d.Claims[o.key] = o.claim
	return true, result{}
}
