package exclusion

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TestReturnedAnnouncementIsNotDeliveredAgain guards against excluding engines anew by
// announcements that an older copy of the store brings back, under versions of a later
// era, while those made since the rise must be delivered.
func TestReturnedAnnouncementIsNotDeliveredAgain(t *testing.T) {
	h := &recorder{}
	b := New(Options{OnAnnouncement: h.record, Log: slog.New(slog.DiscardHandler)})
	announcement := func(era external.Era, host, target string) external.Entry {
		return external.Entry{
			Key: KeyPrefix + external.Key(host), Version: external.NewVersion(era, 3), Value: []byte(`[{"Target":"` + target + `","Millis":1000}]`),
		}
	}
	b.Apply(nil, true, time.Now())
	for _, target := range []string{"e", "f"} {
		b.Apply([]external.Entry{announcement(0, "one", target)}, false, time.Now())
		b.Apply([]external.Entry{{Key: KeyPrefix + "one", Deleted: true}}, false, time.Now())
	}
	h.targets = nil
	b.Apply([]external.Entry{announcement(1, "one", "e"), announcement(1, "two", "g")}, true, time.Now())
	must.Eq(t, []ident.Target{"g"}, h.list())
	b.Apply([]external.Entry{{Key: KeyPrefix + "one", Version: external.NewVersion(1, 4), Value: announcement(1, "one", "e").Value}}, false, time.Now())
	must.Eq(t, []ident.Target{"g", "e"}, h.list(), must.Sprint("the same engine is announced again"))
}
