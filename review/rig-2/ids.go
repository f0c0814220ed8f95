package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["ids"] = idsCase }

const (
	// strangerTime is how long the stranger sends to each machine, and strangerWorkers its
	// connections at a time.
	strangerTime    = 15 * time.Second
	strangerWorkers = 24
)

// idsCase has one client send sound requests that bear the same ID at the same time, and looks
// whether other clients are answered after it has gone.
func idsCase(w *world) int {
	w.configure(configText)
	if _, err := w.addEngines("counting", 2, 2); err != nil {
		return unable
	}
	for range 2 {
		w.addDaemon("")
	}
	if !w.startAll() {
		return unable
	}
	time.Sleep(3500 * time.Millisecond)
	before := w.ordinary(1, 60)
	w.strange()
	time.Sleep(5 * time.Second)
	soon := w.ordinary(2, 60)
	time.Sleep(10 * time.Second)
	later := w.ordinary(3, 60)
	w.note("ordinary requests answered: %d of 60 before, %d of 60 from 5 s after the stranger has gone, %d of 60 from 18 s after", before, soon, later)
	switch {
	case before < 55:
		return unable
	case soon < 15 && later < 15:
		// Starved: less than a quarter is served.
		return broken
	}
	return held
}

// strange is the client that the users don't control. It goes from machine to machine.
func (w *world) strange() {
	var mu sync.Mutex
	statuses := map[int]int{}
	for n, d := range w.daemons {
		var wait sync.WaitGroup
		until := time.Now().Add(strangerTime)
		for worker := range strangerWorkers {
			wait.Go(func() {
				for i := 0; time.Now().Before(until); i++ {
					id := "000000000000d0d0"
					if !w.trouble {
						id = fmt.Sprintf("%016x", 0xd000000+1000000*n+10000*worker+i)
					}
					header := append(callerHeader(id, 5000), promptHeader("aa01", 100, fmt.Sprintf("b%x%02x%04x", n, worker, i), 600, 9)...)
					a := d.once("POST", "/audit/x", shop, header, "body", 6*time.Second)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
				}
			})
		}
		wait.Wait()
	}
	w.note("the stranger has gone; the answers that it got, by status: %v", statuses)
}

// ordinary sends short requests to all machines in turn, and returns how many are answered.
func (w *world) ordinary(round, count int) (answered int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range count {
		time.Sleep(50 * time.Millisecond)
		wait.Go(func() {
			id := fmt.Sprintf("%08x%08x", round, i+1)
			header := append(callerHeader(id, 3000), promptHeader("cc01", 92, fmt.Sprintf("e%x%03x", round, i), 291, 3)...)
			d := w.daemons[i%len(w.daemons)]
			a := d.once("POST", "/check/x", shop, header, "body", 4*time.Second)
			w.note("ordinary request %s to %s: %s", id, d.name, a)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.whole {
				answered++
			}
		})
	}
	wait.Wait()
	return answered
}
