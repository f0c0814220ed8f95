package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// forgottenStreams is the number of streams that begin before the release.
	forgottenStreams = 160
	// loweredTimeout is the route's timeoutMs in the new version of the configuration.
	loweredTimeout = 2500
	// releaseGap is the time between two engines that are replaced.
	releaseGap = 750 * time.Millisecond
	// servesOn is how long an engine that reported that it is draining serves on: drainMs and
	// a little more.
	servesOn = 2300 * time.Millisecond
	// firstBackoff is the client's pause before it takes its stream up; it doubles with each try.
	firstBackoff = 600 * time.Millisecond
	// clientTries is how often a client tries to take its stream up.
	clientTries = 3
)

// forgottenCase ends a release, in which the last engines of one software version are replaced
// one after the other, while the operator lowers the time-out of the route with the longest one.
// Clients take up their streams that ended with the engines.
func forgottenCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configurationOf(timeoutBefore, 1))
	engine := func(id int, stage, version string) (*replica, error) {
		return w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", id), service: "llm", zone: string(rune('a' + id%2)), stage: stage, version: version, slots: 64,
			pause: eventPause, prefill: 10 * time.Millisecond, events: streamEvents,
		})
	}
	// Eight engines have the new version already; the four others are replaced now.
	var old []*replica
	for n := range 12 {
		stage, version := "prefill", "v2"
		if n%3 == 2 {
			stage = "decode"
		}
		if n >= 8 {
			version, stage = "v1", []string{"prefill", "prefill", "decode", "decode"}[n-8]
		}
		r, err := engine(0xe0+n, stage, version)
		if err != nil {
			return false, err
		}
		if version == "v1" {
			old = append(old, r)
		}
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
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
	var mu sync.Mutex
	var streams sync.WaitGroup
	cut, goesOn, mixed := 0, 0, 0
	for n := range forgottenStreams {
		streams.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / forgottenStreams)
			sent := time.Now()
			left := func() time.Duration { return timeoutBefore*time.Millisecond - time.Since(sent) }
			id, got := send(n, left(), 0, "")
			if got.status != http.StatusOK || got.lastEvent == 0 || got.whole {
				return
			}
			mu.Lock()
			cut++
			mu.Unlock()
			for try := range clientTries {
				time.Sleep(firstBackoff << try)
				if left() < 200*time.Millisecond {
					return
				}
				_, again := send(n+1+try, left(), got.lastEvent, id)
				if again.status != http.StatusOK || again.lastEvent == got.lastEvent {
					continue
				}
				mu.Lock()
				defer mu.Unlock()
				goesOn++
				if len(again.versions) > 0 && again.versions[0] != got.versions[0] {
					mixed++
					w.rec.say("stream %s has events up to %d of %s, and from then on of %s", id, got.lastEvent, got.versions[0], again.versions[0])
				}
				return
			}
		})
	}
	stop := make(chan struct{})
	streams.Go(func() {
		// New streams begin all the time.
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			streams.Go(func() { send(1000+i, 2*time.Second, 0, "") })
		}
	})
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	if trouble {
		w.store.put("operator", word("configuration"), configurationOf(loweredTimeout, 2))
		w.rec.say("the operator lowers the route's timeoutMs to %d", loweredTimeout)
	}
	// The release: a new engine starts first, then an old one drains and ends.
	var release sync.WaitGroup
	for n, r := range old {
		if _, err := engine(0x1e0+n, r.spec.stage, "v2"); err != nil {
			return false, err
		}
		r.mu.Lock()
		r.state = "draining"
		r.mu.Unlock()
		r.writeEntry()
		w.rec.say("%s of v1 reports that it is draining", r.spec.id)
		release.Go(func() {
			time.Sleep(servesOn)
			r.crash()
			w.store.del(r.spec.id, word("entries")+r.spec.id)
			w.rec.say("%s of v1 has left", r.spec.id)
		})
		time.Sleep(releaseGap)
	}
	release.Wait()
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	close(stop)
	streams.Wait()
	w.rec.say("%d streams ended with their engines, %d of them go on, %d hold events of two versions", cut, goesOn, mixed)
	if cut < 6 {
		return false, fmt.Errorf("too few streams")
	}
	return mixed > 2, nil
}

// configurationOf returns a version of the operator's configuration with a time-out of the
// route with the longest one. All others have at most loweredTimeout.
func configurationOf(timeout, version int) []byte {
	var config map[string]any
	if err := json.Unmarshal(configuration("audit", map[string]any{"timeoutMs": timeout}), &config); err != nil {
		panic(err)
	}
	config["version"] = version
	routes, _ := config["routes"].([]any)
	for _, each := range routes {
		fields, _ := each.(map[string]any)
		if fields["name"] == "check" {
			fields["timeoutMs"] = loweredTimeout
		}
	}
	text, _ := json.Marshal(config)
	return text
}
