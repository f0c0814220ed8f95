package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/retry"
)

// TestChangedShareIsLoggedRarely guards against shares of the retry limit that change
// unseen, and against a line for each daemon while a fleet starts.
func TestChangedShareIsLoggedRarely(t *testing.T) {
	var lines bytes.Buffer
	l := &shareLog{log: slog.New(slog.NewTextHandler(&lines, nil))}
	for step := range 200 {
		l.record(retry.Share{Ratio: 0.1, Burst: float64(min(step, 60))}, timeOf(step))
	}
	must.Eq(t, 3, strings.Count(lines.String(), "retry share changed"))
	must.StrContains(t, lines.String(), "burst=60")
	must.Eq(t, 3, strings.Count(lines.String(), "\n"))
}
