// Package lease lets one process at a time hold a duty. A holder's authority
// ends by its own clock before the store lets another process take the duty.
package lease
