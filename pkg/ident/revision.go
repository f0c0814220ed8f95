package ident

// Revision numbers the accepted configurations; it only increases.
type Revision uint64
