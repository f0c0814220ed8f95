// Package dissemination spreads each daemon's small state items to all others.
//
// An origin is one incarnation of one daemon. It alone writes its items, and
// puts the changed ones into a numbered bundle at a steady pace. Of two values
// of an item the one of the higher bundle number wins. A receiver knows up to
// which number it has every bundle of an origin, and asks another daemon for
// what it misses. A bundle without items is a sign of life.
package dissemination
