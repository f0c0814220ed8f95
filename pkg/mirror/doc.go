// Package mirror keeps a daemon's copy of what the store holds under a prefix,
// by one watch that feeds every part which follows some of the keys.
package mirror
