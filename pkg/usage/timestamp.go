package usage

import "time"

// Timestamp is a time in milliseconds since the Unix epoch, as stored.
type Timestamp int64

// timestampOf returns the timestamp of a time.
func timestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the timestamp as a time in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)).UTC() }

// align returns the start of the window of the given length that contains t.
func (t Timestamp) align(length time.Duration) Timestamp {
	step := Timestamp(length.Milliseconds())
	return t - t%step
}

// add returns the timestamp later by d.
func (t Timestamp) add(d time.Duration) Timestamp { return t + Timestamp(d.Milliseconds()) }
