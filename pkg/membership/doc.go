// Package membership tracks which daemons of the fleet are alive.
package membership
