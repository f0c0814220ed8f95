package ident

// Model names a model that engines serve.
type Model string
