package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// plainStreams is the number of streams that begin within one second at each machine.
	plainStreams = 24
	// plainMachines is the number of machines, as at the site.
	plainMachines = 8
	// plainEvents and plainPause make a stream of 3 s.
	plainEvents = 60
	plainPause  = 50 * time.Millisecond
)

// plainConfiguration returns the operator's configuration with a route whose streams may be
// resumed, to a service without engines.
func plainConfiguration() []byte {
	var config map[string]any
	if err := json.Unmarshal(configurationText, &config); err != nil {
		panic(err)
	}
	routes, _ := config["routes"].([]any)
	for _, each := range routes {
		fields, _ := each.(map[string]any)
		if fields["name"] == "audit" {
			fields["service"], fields["stickySessions"] = "ledger", false
		}
	}
	text, _ := json.Marshal(config)
	return text
}

// plainCase kills the process of one machine while it relays streams of a service without
// engines, whose replicas have two software versions. The clients take their streams up at the
// other machines.
func plainCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), plainConfiguration())
	for n := range 4 {
		if _, err := w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xa0+n), service: "ledger", zone: string(rune('a' + n/2)), version: fmt.Sprint("v", 1+n%2), slots: 64,
			pause: plainPause, events: plainEvents, streams: true,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addGateways(program, cloudAddress, plainMachines); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	send := func(g *gateway, left time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: "b", lastEvent: lastEvent, resumes: resumes,
		}, plainEvents)
		w.rec.add("client of %s via %s: takes up %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, g.name, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	var mu sync.Mutex
	var streams sync.WaitGroup
	whole, takenUp, goesOn, mixed := 0, 0, 0, 0
	began := time.Now()
	for n := range plainStreams {
		for m, g := range w.gateways {
			streams.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / plainStreams)
				sent := time.Now()
				id, got := send(g, 5*time.Second, 0, "")
				mu.Lock()
				if got.whole {
					whole++
				}
				mu.Unlock()
				if got.whole || got.lastEvent == 0 {
					return
				}
				time.Sleep(200 * time.Millisecond)
				_, again := send(w.gateways[(m+1+n%2)%len(w.gateways)], 5*time.Second-time.Since(sent), got.lastEvent, id)
				mu.Lock()
				defer mu.Unlock()
				takenUp++
				if again.status != http.StatusOK || again.lastEvent == got.lastEvent {
					return
				}
				goesOn++
				if again.versions[0] != got.versions[0] {
					mixed++
					w.rec.say("stream %s has events up to %d of %s, and from then on of %s", id, got.lastEvent, got.versions[0], again.versions[0])
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
	if trouble {
		w.rec.say("the process of %s is killed", w.gateways[0].name)
		w.gateways[0].kill()
	}
	streams.Wait()
	w.rec.say("%d streams whole, %d taken up, %d of them go on, %d hold events of two versions", whole, takenUp, goesOn, mixed)
	return mixed > 2, nil
}
