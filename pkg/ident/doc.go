// Package ident holds the identifiers that the other packages share. Each is a
// distinct type, so that one can't be passed where another is meant.
package ident
