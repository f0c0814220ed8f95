package quota

import (
	"maps"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// bucketRetention is how long the bucket of a workspace without needs is kept.
const bucketRetention = time.Minute

// keeper grants units of the workspaces whose buckets this host keeps. It is not safe for
// concurrent use.
type keeper struct {
	epoch   uint64
	buckets map[ident.Workspace]*keptBucket
}

// keptBucket is the part of a workspace's limit that one keeper grants.
type keptBucket struct {
	admission.TokenBucket
	unit   config.QuotaUnit
	usedAt time.Time
}

// newKeeper returns a keeper without buckets.
func newKeeper(epoch uint64) *keeper {
	return &keeper{epoch: epoch, buckets: make(map[ident.Workspace]*keptBucket)}
}

// bucket returns the refilled bucket of a workspace. A new one has been filling since a
// time before which another process may have granted what the workspace may use.
func (k *keeper) bucket(workspace ident.Workspace, part Limit, since, now time.Time) *keptBucket {
	b := k.buckets[workspace]
	if b == nil || b.unit != part.Unit {
		b = &keptBucket{unit: part.Unit}
		k.buckets[workspace] = b
		if since.Before(now) {
			b.Refill(since, part.Rate, part.Burst)
		}
	}
	b.usedAt = now
	b.Refill(now, part.Rate, part.Burst)
	return b
}

// grant answers a need out of this keeper's part of the limit, which it may grant since a
// time.
func (k *keeper) grant(need *Need, part Limit, since, now time.Time) Grant {
	b := k.bucket(need.Workspace, part, since, now)
	if need.Epoch == k.epoch {
		b.Charge(-max(0, need.Returned))
		b.Refill(now, part.Rate, part.Burst)
	}
	grant := Grant{Workspace: need.Workspace, ID: need.ID, Epoch: k.epoch}
	if need.ID == 0 {
		return grant
	}
	// A need above the burst is granted from a full bucket, and the rest becomes a debt.
	threshold := min(need.Least, part.Burst)
	if b.Level() <= 0 || b.Level() < threshold {
		grant.WaitMillis = max(1, b.Wait(max(1, threshold), part.Rate, part.Burst).Milliseconds())
		return grant
	}
	grant.Amount = amountOf(need, b.Level(), part.Burst)
	b.Charge(grant.Amount)
	return grant
}

// amountOf returns how many units a need is granted. Units in advance are granted from a
// bucket that is more than half full only.
func amountOf(need *Need, level, burst float64) float64 {
	amount := need.Amount
	if level < burst/2 {
		amount = max(need.Least, min(amount, level))
	}
	return min(amount, max(need.Least, level))
}

// sweep drops the buckets of workspaces that have had no need for bucketRetention.
func (k *keeper) sweep(now time.Time) {
	maps.DeleteFunc(k.buckets, func(_ ident.Workspace, b *keptBucket) bool { return now.Sub(b.usedAt) > bucketRetention })
}
