package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// loweredStreams is the number of streams that are taken up.
	loweredStreams = 60
	// streamEvents and eventPause make a stream of 8 s.
	streamEvents = 80
	eventPause   = 100 * time.Millisecond
	// timeoutBefore and timeoutAfter are the route's timeoutMs in the two versions of the
	// configuration. All other routes have at most 3,000.
	timeoutBefore, timeoutAfter = 10000, 3000
)

// loweredCase has the operator lower the time-out of the route with the longest one, while
// replicas of two software versions serve. Clients whose connections break afterwards take their
// streams up again, which began before the change.
func loweredCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": timeoutBefore}))
	for n := range 12 {
		spec := replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xe0+n), service: "llm", zone: string(rune('a' + n/2%2)), stage: "prefill", version: fmt.Sprint("v", 1+n%2), slots: 64,
			pause: eventPause, prefill: 10 * time.Millisecond, events: streamEvents,
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
	// The longest timeout of a route passes, so that all machines know the versions.
	time.Sleep(14 * time.Second)
	send := func(n int, left time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		got := do(client, w.gateways[n%len(w.gateways)].frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: "b",
			prefix: fmt.Sprintf("c0ffee:800,%08x:200", n), tokens: fmt.Sprintf("1000,%d", streamEvents), lastEvent: lastEvent, resumes: resumes,
		}, streamEvents)
		w.rec.add("client of %s via %s: takes up %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, w.gateways[n%len(w.gateways)].name, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	began := time.Now()
	resumeAt := began.Add(5500 * time.Millisecond)
	var mu sync.Mutex
	var streams sync.WaitGroup
	takenUp, goesOn, newOnes, newBegun, mixed := 0, 0, 0, 0, 0
	for n := range loweredStreams {
		streams.Go(func() {
			time.Sleep(time.Duration(n) * 1500 * time.Millisecond / loweredStreams)
			sent := time.Now()
			// The client's connection breaks.
			id, got := send(n, time.Until(resumeAt)-50*time.Millisecond, 0, "")
			if got.status != http.StatusOK || got.lastEvent == 0 || got.whole {
				return
			}
			time.Sleep(time.Until(resumeAt))
			_, again := send(n+1, timeoutBefore*time.Millisecond-time.Since(sent), got.lastEvent, id)
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
	stop := make(chan struct{})
	for n := range 2 {
		// New streams begin all the time.
		streams.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				streams.Go(func() {
					begun := time.Now()
					_, got := send(1000*(n+1)+i, 2*time.Second, 0, "")
					mu.Lock()
					defer mu.Unlock()
					if begun.After(resumeAt.Add(-time.Second)) {
						newOnes++
						if got.lastEvent > 0 {
							newBegun++
						}
					}
				})
			}
		})
	}
	time.Sleep(time.Until(began.Add(1700 * time.Millisecond)))
	if trouble {
		w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": timeoutAfter, "configurationVersion": 2}))
		w.rec.say("the operator lowers the route's timeoutMs to %d", timeoutAfter)
	}
	time.Sleep(time.Until(resumeAt.Add(time.Second)))
	close(stop)
	streams.Wait()
	w.rec.say("%d of %d streams that were taken up go on, %d at another version; %d of %d new ones begin", goesOn, takenUp, mixed, newBegun, newOnes)
	if takenUp < 12 || newOnes < 12 {
		return false, fmt.Errorf("too few streams")
	}
	return float64(goesOn)/float64(takenUp) < float64(newBegun)/float64(newOnes)/2, nil
}
