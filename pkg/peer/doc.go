// Package peer carries messages between the daemons.
package peer
