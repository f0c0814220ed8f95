// Package lease elects one holder per duty by means of leases in the platform's
// store. The holder's authority ends, by the holder's own clock, before the lease
// expires in the store and another process can acquire the duty.
package lease
