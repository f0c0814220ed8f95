package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"] = func(w *world) int {
		shared := 70
		if os.Getenv("RIG_FEW_PARTS") != "" {
			shared = 20
		}
		return poisonCase(w, shared, false)
	}
	cases["unframed"] = func(w *world) int { return poisonCase(w, 20, os.Getenv("RIG_FRAMED") == "") }
}

const (
	// soundPieces is how many events a sound answer has.
	soundPieces = 20
	// badRequests requests with the bad part come in 20 s, and other callers' sound ones in
	// between: 3 in 100 are bad.
	badRequests = 24
	badEvery    = 830 * time.Millisecond
	soundEvery  = 25 * time.Millisecond
	// badPart is the place of the part that crashes replicas, from 1.
	badPart = 10
	// contact is contactMs of the settings.
	contact = 3 * time.Second
	// away is how long a replica is away after a crash.
	away = 3 * time.Second
)

// poisonCase sends prompts with a number of shared parts, one of which crashes each replica that
// begins to write an answer on it. Unframed answers have neither a length nor chunks and end with
// their connection; the crash comes after the first event then.
func poisonCase(w *world, shared int, unframed bool) int {
	w.configure(configText)
	engines, err := w.addEngines("counting", 2, 8)
	if err != nil {
		return unable
	}
	var mu sync.Mutex
	var crashes, reached []time.Time
	bad := fmt.Sprintf("%04x", 0xaa00+badPart)
	for _, e := range engines {
		e.pieces = soundPieces
		e.pause = 30 * time.Millisecond
		e.run = func(r *replica, answer http.ResponseWriter, q *http.Request, body string) {
			crash := strings.Contains(q.Header.Get(name("prompt")), bad+":")
			switch {
			case !crash && unframed:
				e.writeUnframed(answer, q, e.pieces)
				return
			case !crash:
				e.stream(r, answer, q, body)
				return
			case unframed:
				e.writeUnframed(answer, q, 1)
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("%s crashes under %s", r.id, q.Header.Get("X-Request-Id"))
			go func() {
				e.crash()
				time.Sleep(away)
				_ = r.again()
			}()
			if !unframed {
				abort()
			}
		}
		begin := e.before
		e.before = func(r *replica, answer http.ResponseWriter, q *http.Request, a *arrival) bool {
			// A prompt that is read apart is the same request: it counts where the answer is written.
			if !a.prefill && strings.Contains(q.Header.Get(name("prompt")), bad+":") {
				mu.Lock()
				reached = append(reached, a.at)
				mu.Unlock()
			}
			return begin(r, answer, q, a)
		}
	}
	for range 3 {
		w.addDaemon("")
	}
	if !w.startAll() {
		return unable
	}
	time.Sleep(3500 * time.Millisecond)
	parts := make([]string, 0, shared)
	for i := 1; i <= shared; i++ {
		if w.trouble || i != badPart {
			parts = append(parts, fmt.Sprintf("%04x:40", 0xaa00+i))
		}
	}
	stop := make(chan struct{})
	others := w.soundStreams(stop)
	answered := 0
	for n := range badRequests {
		id := fmt.Sprintf("%016x", 0x3000+n)
		header := append(callerHeader(id, 5000), "X-Model: m", fmt.Sprintf("%s: %d,4", name("tokens"), 40*len(parts)+300),
			fmt.Sprintf("%s: %s,%06x:300", name("prompt"), strings.Join(parts, ","), 0xb00000+n))
		d := w.daemons[n%len(w.daemons)]
		go func() {
			a := d.once("POST", "/check/x", shop, header, fmt.Sprint("question ", n), 6*time.Second)
			w.note("request %s to %s: %s", id, d.name, a)
			if a.status == 200 && a.whole {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
		time.Sleep(badEvery)
	}
	close(stop)
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.After(crashes[4].Add(contact)) {
				late++
			}
		}
	}
	w.note("%d crashes; %d such requests reached replicas later than contactMs after the fifth; %d answered", len(crashes), late, answered)
	others.note(w)
	switch {
	case late > 3:
		return broken
	case !w.trouble && answered < badRequests-2:
		return unable
	}
	return held
}

// streams counts the streams of other callers.
type streams struct {
	mu                   sync.Mutex
	whole, broken, other int
}

func (s *streams) note(w *world) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.note("sound streams of other callers: %d whole, %d begun and not whole, %d not begun", s.whole, s.broken, s.other)
}

// soundStreams has other callers send sound prompts until it is stopped.
func (w *world) soundStreams(stop <-chan struct{}) *streams {
	s := &streams{}
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundEvery):
			}
			go func() {
				header := append(callerHeader(fmt.Sprintf("%016x", 0x900000+n), 3000), promptHeader("dd01", 92, fmt.Sprintf("e%05x", n), 291, 3)...)
				a := w.daemons[n%len(w.daemons)].once("POST", "/check/x", shop, header, fmt.Sprint("sound ", n), 4*time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				switch events := strings.Count(a.body, "id: "); {
				case a.status == 200 && a.whole && events == soundPieces:
					s.whole++
				case a.status == 200:
					s.broken++
				default:
					s.other++
				}
			}()
		}
	}()
	return s
}
