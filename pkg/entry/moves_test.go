package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/kvmove"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// longTokens is the number of tokens of the streams that are moved, longInterval
// the time between tokens.
const (
	longTokens   = 50
	longInterval = 100 * time.Millisecond
)

// longStream returns a non-idempotent request for a stream of five seconds.
func longStream() *http.Request {
	body := fmt.Sprintf(`{"model":"counting","stream":true,"max_tokens":%d,"prompt":"count shelf"}`, longTokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+rig.DaemonAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+rig.Key("one"))
	return r
}

// isLongAnswer reports whether the reply is the complete stream, with each token
// once and in order.
func isLongAnswer(got reply) bool {
	at := 0
	for n := range longTokens {
		word := fmt.Sprintf("shelf%d ", n)
		if strings.Count(got.body, word) != 1 || strings.Index(got.body, word) < at {
			return false
		}
		at = strings.Index(got.body, word)
	}
	return got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n")
}

// moveOptions configures a rig whose streams can move between engines.
var moveOptions = rig.Options{Engines: 3, TokenInterval: longInterval, SilenceTimeout: 500 * time.Millisecond, NewStreamMover: func(r *rig.Rig) relay.StreamMover {
	knobs := config.BuiltinKnobs()
	return &kvmove.Mover{
		View: r.View, Sender: r.Control(), Knobs: func(ident.Model) *config.SupplyKnobs { return &knobs.Supply },
	}
}}

// reclaimEngine announces that the stream's engine will leave after notice, waits
// for that time and removes the engine.
func reclaimEngine(r *rig.Rig, notice time.Duration) {
	for i, e := range r.Engines {
		if e.RunsOf("shelf") == 0 {
			continue
		}
		name := ident.Target(fmt.Sprintf("engine-%d", i+1))
		r.View.Leave(name, time.Now().Add(notice))
		time.Sleep(notice)
		r.Network.Refuse(string(name)+":80", true)
		e.DropStreams()
		return
	}
}

func TestStreamMovesOffReclaimedEngine(t *testing.T) {
	inFakeTime(t, moveOptions, func(t *testing.T, r *rig.Rig) {
		done := make(chan reply)
		go func() { done <- send(r.Caller(), longStream()) }()
		time.Sleep(time.Second)
		reclaimEngine(r, 3*time.Second)
		got := <-done
		must.True(t, isLongAnswer(got), must.Sprint(got))
		must.Eq(t, 1, onceStream.runs(r, "shelf"))
		records := r.Usage.Records()
		must.SliceLen(t, 1, records)
		must.Eq(t, longTokens, records[0].Tokens.OutputTokens)
	})
}

func TestStreamIsCutWithoutMoves(t *testing.T) {
	opts := moveOptions
	opts.NewStreamMover = nil
	inFakeTime(t, opts, func(t *testing.T, r *rig.Rig) {
		done := make(chan reply)
		go func() { done <- send(r.Caller(), longStream()) }()
		time.Sleep(time.Second)
		reclaimEngine(r, 3*time.Second)
		must.False(t, isLongAnswer(<-done))
	})
}

func TestFailedMoveKeepsStreamOnEngine(t *testing.T) {
	inFakeTime(t, moveOptions, func(t *testing.T, r *rig.Rig) {
		done := make(chan reply)
		go func() { done <- send(r.Caller(), longStream()) }()
		time.Sleep(time.Second)
		for i, e := range r.Engines {
			name := fmt.Sprintf("engine-%d", i+1)
			if e.RunsOf("shelf") == 0 {
				r.Network.Refuse(name+":80", true)
				continue
			}
			r.View.Leave(ident.Target(name), time.Now().Add(time.Second))
		}
		got := <-done
		must.True(t, isLongAnswer(got), must.Sprint(got))
		must.Eq(t, 1, onceStream.runs(r, "shelf"))
	})
}

func TestPrefillAndDecodeRunOnSeparateEngines(t *testing.T) {
	opts := moveOptions
	opts.Engines = 2
	opts.NewRouter = func(r *rig.Rig) routing.Router {
		knobs := config.BuiltinKnobs()
		return routing.New(routing.Options{
			View: r.View, Now: time.Now, Random: rand.New(rand.NewPCG(1, 2)),
			Knobs: func() *config.RoutingKnobs { return &knobs.Routing },
		})
	}
	inFakeTime(t, opts, func(t *testing.T, r *rig.Rig) {
		states := append([]fleet.TargetState(nil), r.View.Snapshot().Targets...)
		for i, role := range []fleet.Role{fleet.Prefill, fleet.Decode} {
			states[i].SeenAt, states[i].LoadAt = time.Now(), time.Now()
			states[i].Load = fleet.LoadReport{Sequence: 1, Role: role, Slots: 8, PrefillRate: 1000, DecodeRate: 10}
		}
		r.View.Set(states...)
		got := send(r.Caller(), longStream())
		must.True(t, isLongAnswer(got), must.Sprint(got))
		must.Eq(t, 1, onceStream.runs(r, "shelf"))
		must.Less(t, 5, r.Engines[0].Generated())
		must.GreaterEq(t, longTokens-5, r.Engines[1].Generated())
	})
}

func TestMovesAtAnyTimePreserveAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		after := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "after")) * time.Millisecond
		notice := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "notice")) * time.Millisecond
		var got reply
		var runs int
		synctest.Test(t, func(t *testing.T) {
			r, err := rig.New(moveOptions)
			must.NoError(t, err)
			defer r.Close()
			done := make(chan reply)
			go func() { done <- send(r.Caller(), longStream()) }()
			time.Sleep(after)
			reclaimEngine(r, notice)
			got = <-done
			runs = onceStream.runs(r, "shelf")
		})
		must.Eq(rt, 1, runs)
		if got.err == nil && got.status == http.StatusOK {
			must.True(rt, isLongAnswer(got), must.Sprint(got))
		}
		if after+notice > 5*time.Second || (after > 200*time.Millisecond && notice > time.Second) {
			must.True(rt, isLongAnswer(got), must.Sprint(got))
		}
	})
}
