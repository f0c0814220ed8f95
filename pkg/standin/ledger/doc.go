// Package ledger is a stand-in for a plain service with a call that may not be
// repeated: posting an adjustment to a balance.
package ledger
