package target

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxRetryAfter bounds the pause that a server can request.
	MaxRetryAfter = time.Hour
	// MaxRetryAfterText bounds the bytes of a malformed pause that are logged.
	MaxRetryAfterText = 64
)

// RetryAfter returns how long a server that responded with 503 must get no requests, and
// the header's text if it is not a number of seconds from 0 to MaxRetryAfter. A longer time
// counts as MaxRetryAfter, a negative one and an unreadable text as none. A date counts from
// the response's own Date, so that the clocks of two hosts are not compared.
func RetryAfter(header http.Header) (pause time.Duration, malformed string) {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if math.IsInf(seconds, 0) {
		// The number is out of range, which is no other error.
		err = nil
	}
	if err != nil {
		seconds = secondsUntil(text, header)
	}
	switch {
	case math.IsNaN(seconds) || seconds < 0:
		pause = 0
	case seconds > MaxRetryAfter.Seconds():
		pause = MaxRetryAfter
	default:
		pause = time.Duration(seconds * float64(time.Second))
	}
	if err == nil && seconds >= 0 && seconds <= MaxRetryAfter.Seconds() {
		return pause, ""
	}
	return pause, text[:min(len(text), MaxRetryAfterText)]
}

// secondsUntil returns the seconds from a response's Date, or from now if it has none,
// until the time that text states, or NaN if text is no date.
func secondsUntil(text string, header http.Header) float64 {
	until, err := http.ParseTime(text)
	if err != nil {
		return math.NaN()
	}
	from, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		from = time.Now()
	}
	return until.Sub(from).Seconds()
}
