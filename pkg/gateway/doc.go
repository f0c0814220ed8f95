// Package gateway joins the parts of one amaranthplank process on a platform
// whose store holds all that must last: hosts have no state of their own and
// agree on nothing among themselves.
package gateway
