// Package backlog tells daemons which prompts the others have sent to each
// engine and not seen computed, for engines that do not tell it themselves.
//
// Each daemon sends its own sums to those near it, at once when they change but
// for a short pause. In a large fleet those are the daemons of its cell, and one
// daemon of each other cell sends it that cell's sums. A daemon that falls silent
// is left out.
package backlog
