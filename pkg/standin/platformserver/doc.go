// Package platformserver serves the simulated platform interfaces over HTTP.
package platformserver
