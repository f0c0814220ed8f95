package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusedCase has a replica run requests that may run once, fail afterwards and say so with a
// status that promises the opposite, without the header by which a replica says it.
func refusedCase(w *world) int {
	w.configure(configText)
	var replicas []*replica
	for i := range 7 {
		r, err := w.addReplica(fmt.Sprintf("i-led%d", i+1), "ledger", "", 6)
		if err != nil {
			return unable
		}
		replicas = append(replicas, r)
	}
	var mu sync.Mutex
	booked := map[string]int{}
	statuses := []int{503, 429, 408}
	for n, r := range replicas {
		count := 0
		r.run = func(r *replica, answer http.ResponseWriter, q *http.Request, body string) {
			time.Sleep(15 * time.Millisecond)
			mu.Lock()
			booked[body]++
			count++
			fails, status := n == 0 && count%5 < 2, 500
			if w.trouble {
				status = statuses[count%len(statuses)]
			}
			mu.Unlock()
			answer.Header().Set(name("signature"), "sig."+r.id+"."+q.Header.Get("X-Request-Id"))
			if fails {
				w.note("%s has run %s and fails with %d", r.id, q.Header.Get("X-Request-Id"), status)
				answer.WriteHeader(status)
			}
			fmt.Fprintf(answer, "%s", body)
		}
	}
	w.addDaemon("")
	w.addDaemon("")
	if !w.startAll() {
		return unable
	}
	time.Sleep(3500 * time.Millisecond)
	promised := 0
	for n := range 200 {
		adjustment := fmt.Sprintf("adjustment=%d", n)
		// The client comes again, with a new ID, only after a promise that it has not run.
		for try := range 2 {
			id := fmt.Sprintf("%012x%04x", n+1, try)
			d := w.daemons[(n+try)%2]
			a := d.once("POST", "/post/adjust", shop, callerHeader(id, 3000), adjustment, 3*time.Second)
			w.note("request %s with %s to %s: %s, signature %q", id, adjustment, d.name, a, a.header[http.CanonicalHeaderKey(name("signature"))])
			if a.status != 503 && a.status != 429 && a.status != 408 {
				break
			}
			mu.Lock()
			if booked[adjustment] > 0 {
				promised++
				w.note("BROKEN: %s is answered %d, and has run", id, a.status)
			}
			mu.Unlock()
		}
	}
	twice := 0
	for adjustment, times := range booked {
		if times > 1 {
			twice++
			w.note("%s was booked %d times", adjustment, times)
		}
	}
	w.note("%d requests have run and were answered with a promise that they had not; %d adjustments were booked more than once", promised, twice)
	if promised > 0 {
		return broken
	}
	return held
}
