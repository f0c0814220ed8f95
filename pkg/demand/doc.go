// Package demand computes the demand for each model from the engines' load
// reports, by part and by class.
package demand
