// Package settings holds the settings of one process: its names, addresses and
// files. They are read once at the start, unlike the configuration, which is
// the fleet's and changes while traffic runs.
package settings
