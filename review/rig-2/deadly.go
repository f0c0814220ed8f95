package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["deadly"] = deadlyCase }

// deadlyCase sends a request that crashes replicas now and then, and kills all daemons in between.
func deadlyCase(w *world) int {
	w.configure(configText)
	var mu sync.Mutex
	var crashes, reached []time.Time
	for i := range 8 {
		r, err := w.addReplica(fmt.Sprintf("i-led%d", i+1), "ledger", "", 6)
		if err != nil {
			return unable
		}
		r.run = func(r *replica, answer http.ResponseWriter, q *http.Request, body string) {
			if body != "deadly" {
				answer.Header().Set(name("signature"), "s")
				fmt.Fprint(answer, body)
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			reached = append(reached, time.Now())
			mu.Unlock()
			w.note("%s crashes under %s", r.id, q.Header.Get("X-Request-Id"))
			go func() {
				r.crash()
				time.Sleep(away)
				_ = r.again()
			}()
			abort()
		}
	}
	for range 3 {
		w.addDaemon("")
	}
	if !w.startAll() {
		return unable
	}
	roll := os.Getenv("RIG_ROLL") != ""
	for n := range 8 {
		time.Sleep(3800 * time.Millisecond)
		for try := range 2 {
			d := w.daemons[(n+try)%3]
			a := d.once("POST", "/post/adjust", shop, callerHeader(fmt.Sprintf("%015x%d", n, try), 3000), "deadly", 4*time.Second)
			w.note("deadly request to %s: %s", d.name, a)
			time.Sleep(600 * time.Millisecond)
			if roll {
				break
			}
		}
		if !w.trouble {
			continue
		}
		if roll {
			d := w.daemons[n%3]
			d.signal(15)
			<-d.ended
			if d.run() != nil || !d.awaitReady(10*time.Second) {
				return unable
			}
			continue
		}
		for _, d := range w.daemons {
			d.kill()
		}
		for _, d := range w.daemons {
			if d.run() != nil {
				return unable
			}
		}
		for _, d := range w.daemons {
			d.awaitReady(10 * time.Second)
		}
	}
	late := 0
	for _, at := range reached {
		if len(crashes) >= 3 && at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	w.note("%d crashes; %d such requests reached replicas later than contactMs after the third", len(crashes), late)
	if late > 3 {
		return broken
	}
	return held
}
