// Package devmode runs daemons and stand-ins for the platform and the targets in
// one process, all on loopback.
package devmode
