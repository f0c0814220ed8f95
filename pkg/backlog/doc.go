// Package backlog tells daemons which prompts the others have sent to each
// engine and not seen computed, for engines that do not tell it themselves.
//
// Each daemon sends its own sums to those it is linked to, at once when they
// change but for a short pause. A daemon that falls silent is left out.
package backlog
