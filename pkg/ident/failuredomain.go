package ident

// FailureDomain names a set of hosts or targets that can be lost together.
type FailureDomain string
