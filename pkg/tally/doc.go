// Package tally counts the requests that started in each window of time, by
// workspace, and reports each window to the platform with counts that never change.
// A request starts with the first response of a target that does not reject it, and
// counts whether or not it is answered in the end.
//
// Every daemon writes its own counts into the store as a checkpoint, and hands
// further checkpoints to another daemon between two writes. After the end of a
// window the holder of the usage duty adds up the checkpoints and stores the sums
// under one key before it reports them, so that a successor reports the same ones.
//
// The processes of package gateway use this package. Those of package daemon use
// package usage instead, which meters requests and tokens, by workspace, model and
// service, when a request ends.
package tally
