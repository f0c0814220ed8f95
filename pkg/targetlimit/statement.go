package targetlimit

import (
	"cmp"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Statement is what one incarnation of a target last stated about its request rate.
// Daemons exchange it as an array of its fields, so that fields may only be appended.
type Statement struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	// At orders the statements of one incarnation: the sender's true time in Unix
	// milliseconds, but more than that of any statement which it knew.
	At int64
	// Limited is set while the target states a limit, PerSecond is the limit in
	// requests per second for all hosts together.
	Limited   bool
	PerSecond float64
}

// compare orders the statements on one target: a negative result means that s is older
// than other. Of two at the same time the stricter one counts as newer.
func (s *Statement) compare(other *Statement) int {
	return cmp.Or(
		cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.At, other.At), compareBool(s.Limited, other.Limited),
		cmp.Compare(other.PerSecond, s.PerSecond),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
