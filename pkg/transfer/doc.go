// Package transfer bounds a call by the progress of its answer instead of by a fixed
// time, so that a call that has much to move is distinguished from one that hangs.
package transfer
