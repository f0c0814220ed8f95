// Package faulttarget wraps a target's handler with the failures that targets
// have: connections closed at every point, silence, late, crossed, cut and
// overlong answers.
package faulttarget
