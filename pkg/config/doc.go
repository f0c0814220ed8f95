// Package config holds the dynamic configuration: one document of fleet-wide
// defaults and of exceptions with their reasons, kept in the platform's store
// and changed while traffic runs. Settings of one process are in package
// settings.
package config
