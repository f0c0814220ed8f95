package ident

// Duty names one shard of work that at most one process holds at a time.
type Duty string
