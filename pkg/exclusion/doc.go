// Package exclusion announces to all daemons, through the store, which targets
// accept no requests for a while, such as those about to change their role.
package exclusion
