package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongerAnswersAreExpectedToTakeLonger guards against a stopping daemon that takes a request
// whose answer may be longer than any of late, and is killed before its end.
func TestLongerAnswersAreExpectedToTakeLonger(t *testing.T) {
	d := newDurations()
	_, known := d.expected("r", 9)
	must.False(t, known)
	d.observe("r", time.Second, 9)
	d.observe("r", 600*time.Millisecond, 4)
	for tokens, least := range map[int]time.Duration{0: 990 * time.Millisecond, 9: 990 * time.Millisecond, 36: 3960 * time.Millisecond} {
		expected, known := d.expected("r", tokens)
		must.True(t, known)
		must.Between(t, least, expected, least+least/20)
	}
	d.observe("unary", time.Second, 0)
	expected, _ := d.expected("unary", 0)
	must.Eq(t, time.Second, expected)
}
