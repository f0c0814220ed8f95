package ident

// Region names a group of failure domains with short delays between them.
type Region string
