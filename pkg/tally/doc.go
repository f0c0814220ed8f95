// Package tally counts the requests that started in each window of time, by
// workspace, and reports each window to the platform with counts that never change.
//
// Every daemon writes its own counts into the store as a checkpoint, and hands
// further checkpoints to another daemon between two writes. After the end of a
// window the holder of the usage duty adds up the checkpoints and stores the sums
// under one key before it reports them, so that a successor reports the same ones.
package tally
