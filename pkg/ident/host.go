package ident

// Host names one host of the system. A replaced host may come back under the same
// name with a new Incarnation.
type Host string
