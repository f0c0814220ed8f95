// Package demand reckons from the engines' load reports how much work each
// model has, by part and by class.
package demand
