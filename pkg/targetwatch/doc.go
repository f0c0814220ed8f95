// Package targetwatch keeps a daemon's view of the targets from what the
// platform lists and what the targets report.
package targetwatch
