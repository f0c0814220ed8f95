package ident

// Region names a group of failure domains with low latency between them.
type Region string
