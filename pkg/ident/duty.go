package ident

// Duty names a task, or one shard of a task, that at most one process holds at a time.
type Duty string
