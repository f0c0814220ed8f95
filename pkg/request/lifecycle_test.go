package request

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestLifecycleTransitions makes random transitions: a final state is never
// left, EndedNotRun is never reached once an answer has begun, and attempts
// follow only admission or another attempt.
func TestLifecycleTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		streamed, ended := false, false
		lifecycle := NewLifecycle(func(from, to State) {
			must.False(t, from.Final())
			must.False(t, streamed && to == EndedNotRun)
			must.True(t, to != Attempting || from == Admitted || from == Attempting)
			streamed = streamed || to == Streaming
		})
		for _, next := range rapid.SliceOf(rapid.IntRange(0, int(NumStates)-1)).Draw(t, "states") {
			moved := lifecycle.TransitionTo(State(next))
			must.False(t, moved && ended)
			ended = ended || lifecycle.State().Final()
		}
	})
}
