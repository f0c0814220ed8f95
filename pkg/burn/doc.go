// Package burn counts the requests that met or missed the service-level objectives
// of their workspace and route, and computes the burn rate of each error budget over
// several windows. A burn rate of one uses up the whole budget over the
// objective's period. Short windows show a fast burn, long windows a slow one.
package burn
