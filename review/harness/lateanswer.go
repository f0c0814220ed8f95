package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// envInt returns a number from the environment, for a person who varies the case.
func envInt(name, otherwise string) int {
	n, err := strconv.Atoi(cmp.Or(os.Getenv(name), otherwise))
	if err != nil {
		panic(err)
	}
	return n
}

const (
	// lateCopies is the share of the answers after which a copy follows late, lateFor how long
	// that lasts each time, and lateRounds how often it comes.
	lateCopies = 0.03
	lateFor    = 5 * time.Second
	lateRest   = 1500 * time.Millisecond
	lateRounds = 11
)

// lateAnswerCase has one of two replicas of a service send late copies of some of its answers.
// The replicas have as much work as they take, so that they are full at times and turn requests
// away. The requests may not be repeated once they have run.
func lateAnswerCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	replicas, attempts, perSecond, work := envInt("REPLICAS", "2"), envInt("ATTEMPTS", "3"), envInt("RATE", "220"), envInt("WORK", "60")
	w.store.put("operator", word("configuration"), configuration("order", map[string]any{"attempts": attempts}))
	var raw []*rawReplica
	for n := range replicas {
		r, err := newRawReplica(w.rec, w.store, fmt.Sprintf("i-%08x", 0xa1+n), "orders", 6, time.Duration(work)*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer r.close()
		raw = append(raw, r)
	}
	if err := w.addGateways(program, cloudAddress, 2); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second)
	runs := func(id string) (sum int) {
		for _, r := range raw {
			r.mu.Lock()
			sum += r.ran[id]
			r.mu.Unlock()
		}
		return sum
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	refused, twice, counts := 0, 0, map[int]int{}
	stop := make(chan struct{})
	for _, g := range w.gateways {
		calls.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			ticker := time.NewTicker(time.Second * time.Duration(len(w.gateways)) / time.Duration(perSecond))
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
					time.Sleep(400 * time.Millisecond)
					ran := runs(id)
					mu.Lock()
					defer mu.Unlock()
					counts[got.status]++
					if ran > 1 {
						twice++
						w.rec.say("request %s via %s has run %d times", id, g.name, ran)
					}
					if ran > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
						refused++
						w.rec.say("request %s via %s is answered %d, and a replica has run it", id, g.name, got.status)
					}
				})
			}
		})
	}
	for range lateRounds {
		time.Sleep(lateRest)
		if trouble {
			w.rec.say("late copies of answers begin at one of %d replicas", replicas)
			raw[0].setExtra(lateCopies)
		}
		time.Sleep(lateFor)
		raw[0].setExtra(0)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	calls.Wait()
	w.rec.say("answers by status: %v; %d copies; %d requests were answered 503 or 429 and have run, %d have run twice", counts, raw[0].copies, refused, twice)
	return refused > 0 || twice > 0, nil
}
