package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of a request that crashes replicas while all daemons are killed now and then.
const (
	restartsReplicas = 8
	restartsComes    = 8
	restartsKills    = 2
	// restartsEach is the number of arrivals before each kill.
	restartsEach = 2
	// backAfter is how long a replica is down after a crash.
	backAfter = 3 * time.Second
)

// restarts has one request crash each replica that begins to run it. All daemons are killed at
// once and start again after its second and its fourth arrival.
func restarts(w *world) (int, error) {
	var mu sync.Mutex
	var crashes []time.Duration
	var started atomic.Int64
	for i := range restartsReplicas {
		r := &replica{service: "llm", stage: "decode", pause: 40 * time.Millisecond}
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
		if err := w.addReplica(r, fmt.Sprintf("i-first-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(3); err != nil {
		return 2, err
	}
	for i := range restartsComes {
		time.Sleep(contactTime + 2*time.Second)
		w.send(w.daemons[i%len(w.daemons)], call{id: fmt.Sprintf("bad-%d", i), path: "/stream/bad", body: deadlyMark, prompt: "5c1e07a2:80,bad1:20"})
		time.Sleep(time.Second)
		if troubled() && (i+1)%restartsEach == 0 && i < restartsEach*restartsKills {
			if err := w.killAll(); err != nil {
				return 2, err
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return w.verdict(false, "%d crashes", len(crashes)), nil
	}
	from, retries := crashes[2]+contactTime, 0
	for _, run := range w.rec.runs {
		if strings.Contains(run.body, deadlyMark) && run.at > from {
			retries++
		}
	}
	return w.verdict(retries > 3, "%d crashes; %d runs of the request later than %v after the third", len(crashes), retries, contactTime), nil
}

// killAll kills all daemons at once and starts them again.
func (w *world) killAll() error {
	w.rec.note("all daemons are killed")
	for _, d := range w.daemons {
		_ = d.command.Process.Kill()
	}
	for _, d := range w.daemons {
		<-d.done
	}
	time.Sleep(time.Second)
	for _, d := range w.daemons {
		if err := w.startDaemon(d); err != nil {
			return err
		}
	}
	return w.awaitReady()
}
