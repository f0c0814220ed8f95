package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TestTakeUpTimeIsThatOfTheMostPatientCallers guards against forgetting streams while a caller
// may still take them up, by the timeout alone or by that of a route whose callers wait less.
func TestTakeUpTimeIsThatOfTheMostPatientCallers(t *testing.T) {
	const second = config.Duration(time.Second)
	route := func(timeout, firstPart, gap config.Duration) config.Route {
		return config.Route{Resumable: true, Model: "m", Timeout: timeout, FirstPart: firstPart, TokenGap: gap}
	}
	maxTimeout := config.BuiltinKnobs().Retry.MaxTimeout.D()
	for want, routes := range map[time.Duration][]config.Route{
		0:                          {{Timeout: 90 * second}},
		7 * time.Second:            {route(5*second, 0, 0)},
		9 * time.Second:            {route(5*second, second, second/4), route(4*second, second, 0)},
		13 * time.Second:           {route(5*second, second, second), route(9*second, second, 0)},
		maxTimeout + 2*time.Second: {route(0, 0, 0), route(9*second, second, 0)},
		602 * time.Second:          {route(600*second, 0, 0)},
	} {
		source := config.NewPublishedSource(&config.Document{Defaults: config.BuiltinKnobs()}, slog.New(slog.DiscardHandler))
		must.True(t, source.Offer(1, &config.Document{Routes: routes}))
		found := &resumable{}
		found.read(source.Current())
		must.Eq(t, want, found.takeUpTime)
	}
	split := route(0, 0, 0)
	split.Split = []config.Share{{Model: "a", Weight: 1}, {Service: "b", Weight: 1}}
	must.Eq(t, []ident.Pool{{Model: "a"}, {Service: "b"}}, split.Pools())
}
