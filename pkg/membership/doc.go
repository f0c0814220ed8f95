// Package membership tells a daemon which other daemons are alive.
package membership
