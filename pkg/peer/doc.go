// Package peer exchanges messages between the daemons over authenticated
// WebSocket links.
package peer
