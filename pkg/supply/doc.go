// Package supply plans how many targets of each kind to hold in each failure
// domain, and which running work must leave a target that is taken back. The
// decisions are pure.
package supply
