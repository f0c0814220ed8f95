// Package ledger simulates a service that isn't a model engine and has a
// non-idempotent call: posting an adjustment to a balance.
package ledger
