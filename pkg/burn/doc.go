// Package burn counts how requests kept the service-level objectives of their
// workspace and route, and works out how fast each error budget burns over
// several windows. A burn rate of one uses the whole budget up over the
// objective's period; the short windows show a fast loss, the long ones a slow.
package burn
