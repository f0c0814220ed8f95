// Package engine is a stand-in for a model engine: it answers with counted
// words at a set pace and keeps streams so that they can be resumed.
package engine
