package main

import (
	"cmp"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// extraShare is the share of the answers after which a second copy follows late.
	extraShare = 0.03
	// shedShare is the share of the requests that the replica turns away.
	shedShare = 0.45
)

// refusedCase has the only replica of a service send late copies of some of its answers while
// it is full at times.
func refusedCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	attempts, err := strconv.Atoi(cmp.Or(os.Getenv("ATTEMPTS"), "2"))
	if err != nil {
		return false, err
	}
	text := configuration("order", map[string]any{"attempts": attempts})
	w.store.put("operator", word("configuration"), text)
	r, err := newRawReplica(w.rec, w.store, "i-000000a1", "orders", 6, 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer r.close()
	r.shed = shedShare
	if err := w.addGateways(program, cloudAddress, 2); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	refused, twice, counts := 0, 0, map[int]int{}
	stop := make(chan struct{})
	for _, g := range w.gateways {
		calls.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			ticker := time.NewTicker(25 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				calls.Go(func() {
					id := w.newID()
					got := do(client, g.frontAddress(), call{
						id: id, method: http.MethodPost, path: "/order/x", host: reviewHost, key: "k1", deadline: 1500 * time.Millisecond, body: id,
					}, 0)
					w.rec.add("client of %s via %s: status %d, %v", id, g.name, got.status, got.err)
					time.Sleep(200 * time.Millisecond)
					r.mu.Lock()
					ran := r.ran[id]
					r.mu.Unlock()
					mu.Lock()
					defer mu.Unlock()
					counts[got.status]++
					if ran > 1 {
						twice++
						w.rec.say("request %s via %s has run %d times", id, g.name, ran)
					}
					if ran > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
						refused++
						w.rec.say("request %s via %s is answered %d, and the replica has run it", id, g.name, got.status)
					}
				})
			}
		})
	}
	for range 11 {
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			w.rec.say("late copies of answers begin")
			r.setExtra(extraShare)
		}
		time.Sleep(5 * time.Second)
		r.setExtra(0)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	calls.Wait()
	w.rec.say("answers by status: %v; %d copies; %d requests were answered 503 or 429 and have run, %d have run twice", counts, r.copies, refused, twice)
	return refused > 0 || twice > 0, nil
}
