// Package bytebudget bounds the sum of the bytes that many users of a process hold at the
// same time.
package bytebudget

import "sync/atomic"

// Budget counts held bytes. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	// most is the most bytes, or zero without a bound.
	most int64
	held atomic.Int64
}

// New returns a budget of a number of bytes, or without a bound if that is zero.
func New(most int64) *Budget { return &Budget{most: most} }

// Take counts bytes as held. It reports false, and counts nothing, if they would exceed the
// budget.
func (b *Budget) Take(bytes int64) bool {
	if b == nil {
		return true
	}
	if held := b.held.Add(bytes); b.most > 0 && held > b.most {
		b.held.Add(-bytes)
		return false
	}
	return true
}

// Release no longer counts bytes that Take counted.
func (b *Budget) Release(bytes int64) {
	if b != nil {
		b.held.Add(-bytes)
	}
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}
