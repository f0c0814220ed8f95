package usage

import "time"

// Stamp is a time in milliseconds since 1970, as it stands in the store.
type Stamp int64

// stampOf returns the stamp of a time.
func stampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) }

// Time returns the stamp as a time.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s)).UTC() }

// align returns the start of the window of the given length that holds s.
func (s Stamp) align(length time.Duration) Stamp {
	step := Stamp(length.Milliseconds())
	return s - s%step
}

// add returns the stamp later by d.
func (s Stamp) add(d time.Duration) Stamp { return s + Stamp(d.Milliseconds()) }
