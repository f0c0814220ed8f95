// Package lease elects one holder per duty by means of leases in the platform's
// store. A holder's authority expires by its own clock before the store lets
// another process acquire the duty.
package lease
