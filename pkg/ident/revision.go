package ident

// Revision numbers the accepted configurations; it only rises.
type Revision uint64
