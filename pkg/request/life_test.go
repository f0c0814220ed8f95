package request

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// TestLifeEndsOnceAndTruthfully makes random transitions: a final state is never
// left, and not run is never reached once an answer has begun.
func TestLifeEndsOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		streamed, ended := false, false
		life := NewLife(func(from, to State) {
			must.False(t, from.Final())
			must.False(t, streamed && to == EndedNotRun)
			must.True(t, to != Attempting || from == Admitted || from == Attempting)
			streamed = streamed || to == Streaming
		})
		for _, next := range rapid.SliceOf(rapid.IntRange(0, int(States)-1)).Draw(t, "states") {
			moved := life.To(State(next))
			must.False(t, moved && ended)
			ended = ended || life.State().Final()
		}
	})
}
