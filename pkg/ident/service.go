package ident

// Service names a plain service that targets serve.
type Service string
