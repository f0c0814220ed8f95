package ident

// Route names a route of the configuration.
type Route string
