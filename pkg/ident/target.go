package ident

// Target names one replica of a model engine or of a plain service.
type Target string
