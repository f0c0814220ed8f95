// Package absence tells all daemons through the store which engines take nothing
// for a while, such as those that are about to change their role.
package absence
