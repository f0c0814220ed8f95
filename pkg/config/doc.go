// Package config manages the dynamic configuration: one document of fleet-wide
// defaults and of exceptions with their reasons. It is kept in the platform's
// store and may change while requests are served. The static settings of a
// single process are in package settings.
//
// The control state has two parts: the configuration, which operators write, and
// the holds, which the daemons write. A daemon serves only while there is
// evidence that its control state is fresh.
package config
