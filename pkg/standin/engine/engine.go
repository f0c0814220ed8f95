package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Engine is one simulated engine. It implements http.Handler.
type Engine struct {
	opts  Options
	mux   *http.ServeMux
	slots chan struct{}
	// computed and generated count prompt and output tokens.
	computed  atomic.Uint64
	generated atomic.Uint64

	mu       sync.Mutex
	streams  map[ident.Attempt]*stream
	control  control
	sequence uint64
	queued   int
	runs     map[ident.Attempt]int
	cancels  int
	// runsByWord counts the started generations by the last word of their prompt.
	runsByWord map[string]int
}

// New returns an idle engine.
func New(opts Options) *Engine {
	e := &Engine{
		opts:       opts,
		mux:        http.NewServeMux(),
		slots:      make(chan struct{}, opts.Slots),
		streams:    make(map[ident.Attempt]*stream),
		runs:       make(map[ident.Attempt]int),
		runsByWord: make(map[string]int),
		control:    newControl(opts.Version),
	}
	e.mux.HandleFunc("POST "+target.PathChat, e.complete)
	e.mux.HandleFunc("POST "+target.PathCompletions, e.complete)
	e.mux.HandleFunc("GET "+target.PathStreams+"{attempt}", e.resume)
	e.mux.HandleFunc("DELETE "+target.PathStreams+"{attempt}", e.cancel)
	e.mux.HandleFunc("GET "+pathCache+"{attempt}", e.sendCache)
	e.mux.HandleFunc("GET "+target.PathLoad, e.load)
	e.mux.HandleFunc("POST "+target.PathOrders, e.order)
	return e
}

// ServeHTTP serves one request. It responds with 503 while a change of role or
// version, or a restart, is in progress; orders are accepted all the same.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.unavailable(r.URL.Path) {
		http.Error(w, "the engine is unavailable during a change or restart", http.StatusServiceUnavailable)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Runs returns how often each attempt was started.
func (e *Engine) Runs() map[ident.Attempt]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[ident.Attempt]int, len(e.runs))
	for attempt, n := range e.runs {
		runs[attempt] = n
	}
	return runs
}

// RunsOf returns the number of started generations whose prompt ends with word.
func (e *Engine) RunsOf(word string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsByWord[word]
}

// Generated returns the number of output tokens generated so far.
func (e *Engine) Generated() uint64 { return e.generated.Load() }

// Cancels returns how many streams were canceled.
func (e *Engine) Cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

// DropStreams cancels and drops all streams, as a restart does.
func (e *Engine) DropStreams() {
	e.mu.Lock()
	streams := e.streams
	e.streams = make(map[ident.Attempt]*stream)
	e.mu.Unlock()
	for _, s := range streams {
		s.cancel()
	}
}

// complete starts a generation and sends its output, streamed or as one body.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	attempt := ident.Attempt(r.Header.Get(target.HeaderAttempt))
	s := e.start(attempt, &body)
	w.Header().Set(target.HeaderAttempt, string(attempt))
	if body.Stream {
		sendStream(w, r, s, 0)
		return
	}
	e.sendBody(w, r, s, body)
}

// start starts a generation that outlives the connection that requested it.
func (e *Engine) start(attempt ident.Attempt, body *completionBody) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(cancel, body)
	e.mu.Lock()
	e.streams[attempt] = s
	e.runs[attempt]++
	e.runsByWord[body.word(true)]++
	e.queued++
	e.mu.Unlock()
	go e.generate(ctx, s, body)
	return s
}

// generate waits for a slot and adds the stream's events, one every
// TokenInterval.
func (e *Engine) generate(ctx context.Context, s *stream, body *completionBody) {
	defer s.finish()
	if !e.takeSlot(ctx) {
		return
	}
	defer func() { <-e.slots }()
	if s.count() == 0 {
		e.computed.Add(uint64(body.promptTokens()))
	}
	tokens, word := body.tokens(e.opts.DefaultTokens), body.word(e.opts.Echo)
	for n := s.count(); n < tokens; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.opts.TokenInterval):
		}
		s.add(tokenEvent(word, n))
		e.generated.Add(1)
	}
	s.add(usageEvent(body.promptTokens(), tokens))
	s.add(target.EndMarker)
}

// takeSlot waits for a slot and reports whether it got one before ctx was done.
func (e *Engine) takeSlot(ctx context.Context) bool {
	defer func() {
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// resume sends the events of a stream after the last one that the client has
// received.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	attempt := ident.Attempt(r.PathValue("attempt"))
	s := e.stream(attempt)
	after, err := parseAfter(r.Header.Get(target.HeaderLastEventID))
	if s == nil || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set(target.HeaderAttempt, string(attempt))
	sendStream(w, r, s, after)
}

// cancel stops the generation of a stream.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.stream(ident.Attempt(r.PathValue("attempt")))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel()
	e.mu.Lock()
	e.cancels++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// stream returns the stream of an attempt, or nil.
func (e *Engine) stream(attempt ident.Attempt) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[attempt]
}
