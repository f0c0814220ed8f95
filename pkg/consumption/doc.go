// Package consumption counts what each workspace uses on this daemon and tells
// admission what it uses on the others, so that limits and shares hold over the
// whole fleet.
package consumption
