package ident

// FailureDomain names a set of hosts or targets that can fail together.
type FailureDomain string
