package claims

import (
	"encoding/json"
	"maps"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Document is the stored value of one shard.
type Document struct {
	Claims map[digest]Claim `json:"claims"`
}

// maxClaims bounds the claims of one shard, so that its value stays below the
// store's size limit even if every response has MaxResponseBytes.
const maxClaims = 256

// errShardFull reports that a shard has maxClaims claims.
var errShardFull = fault.New(fault.Limited, "too many idempotency keys are stored", "send the request again after the time in Retry-After").WithRetryAfter(time.Minute)

// parseDocument decodes a shard's value; an empty value has no claims.
func parseDocument(value []byte) (*Document, error) {
	d := &Document{Claims: make(map[digest]Claim)}
	if len(value) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(value, d); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the stored claims of a shard are malformed", "delete the shard's store key, which discards its claims")
	}
	return d, nil
}

// apply returns the document after the operations, without expired claims, and
// the result of each operation. It returns d itself if no operation changes it.
// Operations are idempotent, so a write whose response was lost is resolved by
// applying it again.
func (d *Document) apply(operations []operation, now time.Time) (*Document, []result) {
	next := &Document{Claims: make(map[digest]Claim, len(d.Claims)+len(operations))}
	maps.Copy(next.Claims, d.Claims)
	maps.DeleteFunc(next.Claims, func(_ digest, claim Claim) bool { return now.After(claim.Until) })
	results := make([]result, len(operations))
	changed := false
	for i := range operations {
		opChanged, r := next.applyOperation(&operations[i])
		changed = changed || opChanged
		results[i] = r
	}
	if !changed {
		return d, results
	}
	return next, results
}

// applyOperation applies one operation in place and reports whether it changed
// the document.
func (d *Document) applyOperation(o *operation) (bool, result) {
	current, ok := d.Claims[o.key]
	own := ok && current.ID == o.claim.ID
	switch {
	case o.kind == opAcquire && own:
		return false, result{}
	case o.kind == opAcquire && ok:
		return false, result{existing: &current}
	case o.kind == opAcquire && len(d.Claims) >= maxClaims:
		return false, result{err: errShardFull}
	case o.kind == opAcquire:
		d.Claims[o.key] = o.claim
		return true, result{}
	case !own:
		return false, result{}
	case o.kind == opRelease:
		delete(d.Claims, o.key)
		return true, result{}
	}
	if current.State == o.claim.State {
		return false, result{}
	}
	d.Claims[o.key] = o.claim
	return true, result{}
}
