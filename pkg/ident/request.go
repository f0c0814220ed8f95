package ident

// Request identifies one request of a caller within the fleet.
type Request string
