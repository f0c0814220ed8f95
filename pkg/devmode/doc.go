// Package devmode runs daemons in one process beside stand-ins for the
// platform and the targets, all on loopback.
package devmode
