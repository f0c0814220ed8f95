// Package platformserver serves the stand-ins for the platform over HTTP.
package platformserver
