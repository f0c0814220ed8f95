// Package demand computes the demand for each model from the engines' load
// reports, split into prefill and decode, and by class.
package demand
