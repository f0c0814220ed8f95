package ident

// Target names one back end: a model engine's replica or a plain service's replica.
type Target string
