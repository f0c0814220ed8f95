// Package settings holds the static settings of one process: its names, addresses
// and files. They are read once at startup, unlike the configuration (package
// config), which is shared by the fleet and may change while requests are served.
package settings
