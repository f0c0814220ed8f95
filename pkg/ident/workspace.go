package ident

// Workspace names a customer whose requests are limited and billed together.
type Workspace string
