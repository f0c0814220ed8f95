// Package tally counts the requests that began to run in each window of true
// time, by workspace, and reports each window once.
//
// Every daemon writes its own counts into the store, and has a neighbour keep
// them between two writes. The holder of the duty
// adds them up after a window's end and freezes the sums in one key of the
// store before they are reported, so that a successor reports the same ones.
package tally
