package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// copyStreams is the number of streams that are taken up.
const copyStreams = 120

// copyCase has clients take up streams after all processes were killed and the store came back
// from a copy that is older than the streams, while two software versions serve.
func copyCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": 10000}))
	for n := range 12 {
		spec := replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xe0+n), service: "llm", zone: string(rune('a' + n/2%2)), stage: "prefill", version: fmt.Sprint("v", 1+n%2), slots: 64,
			pause: 100 * time.Millisecond, prefill: 10 * time.Millisecond, events: 60,
		}
		if n >= 8 {
			spec.stage = "decode"
		}
		if _, err := w.addReplica(spec); err != nil {
			return false, err
		}
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	// The longest timeout of a route passes, so that all daemons know the versions.
	time.Sleep(13 * time.Second)
	copied := w.store.copyOf()
	w.rec.say("the copy is taken")
	client := newClient()
	deadline := 10 * time.Second
	send := func(n int, left time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		got := do(client, w.gateways[n%len(w.gateways)].frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: "b",
			prefix: fmt.Sprintf("c0ffee:800,%08x:200", n), tokens: "1000,40", lastEvent: lastEvent, resumes: resumes,
		}, 60)
		w.rec.add("client of %s: resumes %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	began := time.Now()
	// The streams begin within one second. All that were begun are cut 2 s after that.
	var mu sync.Mutex
	var streams sync.WaitGroup
	takenUp, goesOn, newOnes, newBegun, mixed := 0, 0, 0, 0, 0
	resumeAt := began.Add(6800 * time.Millisecond)
	for n := range copyStreams {
		streams.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / copyStreams)
			sent := time.Now()
			left := deadline
			if !trouble {
				// The client's connection breaks.
				left = time.Until(began.Add(3 * time.Second))
			}
			id, got := send(n, left, 0, "")
			if got.status != http.StatusOK || got.lastEvent == 0 || got.whole {
				return
			}
			time.Sleep(time.Until(resumeAt))
			_, again := send(n+1, deadline-time.Since(sent), got.lastEvent, id)
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if again.status == http.StatusOK && again.lastEvent > got.lastEvent {
				goesOn++
				if len(again.versions) > 0 && again.versions[0] != got.versions[0] {
					mixed++
				}
			}
		})
	}
	time.Sleep(time.Until(began.Add(3 * time.Second)))
	if trouble {
		w.rec.say("all processes are killed, and the store is away")
		w.store.setFault(all, storeBusy)
		for _, g := range w.gateways {
			g.kill()
		}
		time.Sleep(300 * time.Millisecond)
		w.store.restore(copied)
		w.store.setFault(all, storeSound)
		w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": 10000}))
		for _, r := range w.replicas {
			r.writeEntry()
		}
		w.rec.say("the store is back from the copy")
		for _, g := range w.gateways {
			if err := g.start(); err != nil {
				return false, err
			}
		}
	}
	for n := range 60 {
		streams.Go(func() {
			time.Sleep(time.Until(resumeAt.Add(time.Duration(n) * 10 * time.Millisecond)))
			_, got := send(1000+n, 3*time.Second, 0, "")
			mu.Lock()
			defer mu.Unlock()
			newOnes++
			if got.status == http.StatusOK && got.lastEvent > 0 {
				newBegun++
			}
		})
	}
	streams.Wait()
	w.rec.say("%d of %d streams that were taken up go on, %d at another version; %d of %d new ones begin", goesOn, takenUp, mixed, newBegun, newOnes)
	if takenUp < 12 {
		return false, fmt.Errorf("too few streams were taken up")
	}
	return float64(goesOn)/float64(takenUp) < float64(newBegun)/float64(newOnes)/2, nil
}
