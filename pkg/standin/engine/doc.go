// Package engine simulates a model engine: it generates numbered words at a
// fixed rate and keeps its streams so that they can be resumed.
package engine
