package ident

// Request identifies one caller's request within the fleet.
type Request string
