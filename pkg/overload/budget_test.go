package overload

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// deadlines is a response that records which deadline ended it.
type deadlines struct {
	http.ResponseWriter

	read, write bool
}

// SetReadDeadline records that a read was ended.
func (d *deadlines) SetReadDeadline(time.Time) error {
	d.read = true
	return nil
}

// SetWriteDeadline records that a write was ended.
func (d *deadlines) SetWriteDeadline(time.Time) error {
	d.write = true
	return nil
}

// begin returns the hold of a new request with a body, and its response.
func begin(b *Budget, route ident.Route) (*Hold, *deadlines, error) {
	response := &deadlines{ResponseWriter: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	h, err := b.Begin(r, route, http.NewResponseController(response))
	return h, response, err
}

// TestStalledBodyGivesWay guards against bodies that stop short of their end and keep the room of
// others, and against ending one that comes in pieces or is whole.
func TestStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{BodyBytes: 300}, nil, nil)
		stalled, stalledResponse, _ := begin(b, "")
		must.NoError(t, stalled.TakeBody(100))
		whole, wholeResponse, _ := begin(b, "")
		must.NoError(t, whole.TakeBody(100))
		must.NoError(t, whole.BodyRead())
		time.Sleep(2 * stalledAfter)
		coming, comingResponse, _ := begin(b, "")
		must.NoError(t, coming.TakeBody(100))
		next, _, _ := begin(b, "")
		must.NoError(t, next.TakeBody(100))
		synctest.Wait()
		must.True(t, stalledResponse.read)
		must.True(t, stalled.Evicted())
		must.ErrorIs(t, stalled.BodyRead(), ErrFull)
		must.ErrorIs(t, stalled.TakeBody(1), ErrFull)
		must.False(t, wholeResponse.read || wholeResponse.write || comingResponse.read)
		must.ErrorIs(t, next.TakeBody(1), ErrFull, must.Sprint("no other request gives way"))
		for _, h := range []*Hold{stalled, whole, coming, next} {
			h.Release()
		}
		must.Zero(t, b.bodies.held)
		must.Zero(t, len(b.holds))
	})
}

// TestUnreadAnswerGivesWay guards against answers that are not read and keep the room of others, and
// against ending one that is being read.
func TestUnreadAnswerGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{RequestBytes: 5 * requestBytes / 2}, nil, nil)
		unread, unreadResponse, _ := begin(b, "")
		read, readResponse, _ := begin(b, "")
		must.NoError(t, unread.BodyRead())
		must.NoError(t, read.BodyRead())
		unread.Writing(time.Now())
		time.Sleep(2 * unreadAfter)
		read.Writing(time.Now())
		_, _, err := begin(b, "")
		must.NoError(t, err)
		synctest.Wait()
		must.True(t, unreadResponse.write)
		must.False(t, readResponse.write)
		_, _, err = begin(b, "")
		must.ErrorIs(t, err, ErrFull)
	})
}

// TestRouteHasAPart guards against the requests of a route whose service doesn't answer that leave no
// room for those of others.
func TestRouteHasAPart(t *testing.T) {
	b := New(Limits{BodyBytes: 400}, nil, nil)
	silent, _, _ := begin(b, "silent")
	must.NoError(t, silent.TakeBody(300))
	must.NoError(t, silent.BodyRead())
	again, _, _ := begin(b, "silent")
	must.ErrorIs(t, again.TakeBody(1), ErrFull)
	other, _, _ := begin(b, "other")
	must.NoError(t, other.TakeBody(100))
}

// TestHeldBytesStayWithinLimits guards against orders of events in which more is held than the limits
// allow, or something stays counted once its request has ended.
func TestHeldBytesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{RequestBytes: 4 * requestBytes, BodyBytes: 1000}, nil, nil)
		var holds []*Hold
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 7).Draw(t, "request")
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 || i >= len(holds):
				h, _, err := begin(b, rapid.SampledFrom([]ident.Route{"", "a", "b"}).Draw(t, "route"))
				if err == nil {
					holds = append(holds, h)
				}
			case step == 1:
				if err := holds[i].TakeBody(int64(rapid.IntRange(1, 400).Draw(t, "bytes"))); err != nil {
					must.True(t, errors.Is(err, ErrFull))
				}
			case step == 2:
				_ = holds[i].BodyRead()
			case step == 3:
				holds[i].progressAt = holds[i].progressAt.Add(-time.Second)
				holds[i].Writing(time.Now().Add(-time.Minute))
			default:
				holds[i].Release()
				holds = append(holds[:i], holds[i+1:]...)
			}
			must.LessEq(t, b.limits.RequestBytes, b.requests.held)
			must.LessEq(t, b.limits.BodyBytes, b.bodies.held)
		}
		for _, h := range holds {
			h.Release()
		}
		must.Zero(t, b.requests.held+b.bodies.held)
		must.Zero(t, len(b.requests.routes)+len(b.bodies.routes)+len(b.holds))
	})
}

// TestLimitsLeaveRoomForTheProcess guards against limits whose sum, with what the process itself and
// the responses of targets need, is more than the memory or the descriptors.
func TestLimitsLeaveRoomForTheProcess(t *testing.T) {
	const longestBody, responseShare = 4 << 20, 0.1
	for _, machine := range []struct{ megabytes, descriptors int }{{144, 3075}, {284, 4100}, {536, 8192}, {536, 10250}} {
		memory := int64(machine.megabytes) << 20
		l := LimitsFor(memory, machine.descriptors)
		sum := int64(l.CallerConnections)*connectionBytes + l.HeadBytes + l.RequestBytes + l.BodyBytes + ownBytes + int64(responseShare*float64(memory))
		t.Logf("%d MB: %+v, sum %d MB", machine.megabytes, l, sum>>20)
		must.LessEq(t, int64(collectedShare*float64(memory)), sum)
		must.Greater(t, longestBody, int64(routeShare*float64(l.BodyBytes)))
		connections := l.CallerConnections + 2*l.OperatorConnections + l.PeerConnections + int(l.RequestBytes/requestBytes)
		must.Less(t, machine.descriptors, connections)
	}
}

// TestPartsCountWithTheirRequest guards against descriptions of long prompts that take memory which
// no bound on requests counts.
func TestPartsCountWithTheirRequest(t *testing.T) {
	b := New(Limits{RequestBytes: 3*requestBytes + 1024}, nil, nil)
	first, _, err := begin(b, "")
	must.NoError(t, err)
	must.NoError(t, first.TakeParts(requestBytes))
	second, _, err := begin(b, "")
	must.NoError(t, err)
	must.ErrorIs(t, second.TakeParts(requestBytes), ErrFull)
	first.Release()
	must.NoError(t, second.TakeParts(requestBytes))
	second.Release()
	must.Zero(t, b.requests.held)
}
