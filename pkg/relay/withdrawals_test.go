package relay

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"
)

// TestRefusedRetriesAreCountedAndLoggedRarely guards against refusals that neither a
// metric nor the log shows, and against a line for each of them.
func TestRefusedRetriesAreCountedAndLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		observer := withdrawalObserver{metrics: newMetrics(nil), log: slog.New(slog.NewTextHandler(&lines, nil))}
		observer.observe("model/m", true)
		must.Eq(t, "", lines.String())
		for range 100 {
			observer.observe("model/m", false)
		}
		must.Eq(t, 1, strings.Count(lines.String(), "\n"))
		time.Sleep(refusalLogInterval)
		observer.observe("model/m", false)
		must.StrContains(t, lines.String(), "refusals=100")
		must.Eq(t, 1, testutil.ToFloat64(observer.metrics.retries.WithLabelValues("model/m", "granted")))
		must.Eq(t, 101, testutil.ToFloat64(observer.metrics.retries.WithLabelValues("model/m", "refused")))
	})
}
