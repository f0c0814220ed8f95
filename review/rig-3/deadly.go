package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of a request that crashes replicas.
const (
	deadlyReplicas = 8
	deadlyPause    = 1500 * time.Millisecond
	deadlyComes    = 16
	backAfter      = 3 * time.Second
	contactTime    = 3 * time.Second
	soundPause     = 120 * time.Millisecond
)

// deadly has one request crash each replica that begins to run it. Streams have neither a length nor
// chunks, unless FRAMED is set.
func deadly(w *world) (int, error) {
	var mu sync.Mutex
	var crashes []time.Duration
	var started atomic.Int64
	for i := range deadlyReplicas {
		r := &replica{service: "llm", stage: "decode", pause: 40 * time.Millisecond, unframed: os.Getenv("FRAMED") == ""}
		if troubled() {
			r.onDeadly = func(r *replica) {
				mu.Lock()
				crashes = append(crashes, time.Since(w.rec.began))
				mu.Unlock()
				r.crash()
				go func() {
					time.Sleep(backAfter)
					if err := r.start(fmt.Sprintf("i-back-%d", started.Add(1)), "v1"); err != nil {
						w.rec.note("a replica does not start again: %v", err)
					}
				}()
			}
		}
		if err := w.addReplica(r, fmt.Sprintf("i-first-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(3); err != nil {
		return 2, err
	}
	time.Sleep(contactTime + 2*time.Second)
	var all sync.WaitGroup
	end := make(chan struct{})
	var sound, whole atomic.Int64
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(soundPause):
			}
			all.Go(func() {
				sound.Add(1)
				got := w.send(w.daemons[i%len(w.daemons)], call{id: fmt.Sprintf("sound-%d", i), path: "/stream/sound", body: fmt.Sprintf("sound %d", i), prompt: fmt.Sprintf("5c1e07a2:80,%x:20", 4096+i)})
				if got.whole && len(got.data) == streamSize {
					whole.Add(1)
				}
			})
		}
	})
	for i := range deadlyComes {
		w.send(w.daemons[i%len(w.daemons)], call{id: fmt.Sprintf("bad-%d", i), path: "/stream/bad", body: deadlyMark, prompt: "5c1e07a2:80,bad1:20"})
		time.Sleep(deadlyPause)
	}
	close(end)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return w.verdict(false, "%d crashes, %d of %d sound streams whole", len(crashes), whole.Load(), sound.Load()), nil
	}
	from, retries := crashes[2]+contactTime, 0
	for _, run := range w.rec.runs {
		if strings.Contains(run.body, deadlyMark) && run.at > from {
			retries++
		}
	}
	return w.verdict(retries > 3, "%d crashes; %d runs of the request later than %v after the third; %d of %d sound streams whole",
		len(crashes), retries, contactTime, whole.Load(), sound.Load()), nil
}
