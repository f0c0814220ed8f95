package ident

// Workspace names a tenant whose requests are limited and billed together.
type Workspace string
