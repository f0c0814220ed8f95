// Package targetwatch maintains a daemon's view of the targets from the platform's
// list of targets and from the targets' load reports.
package targetwatch
