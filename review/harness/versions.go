package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// batchKey is the key of a second tenant.
const batchKey = "batch"

// reviewHost is the host name of all routes.
const reviewHost = "review.example"

// configurationText is the operator's configuration.
//
//go:embed configuration.json
var configurationText []byte

// configuration returns the operator's configuration, with fields of one route changed.
func configuration(route string, changes map[string]any) []byte {
	var config map[string]any
	if err := json.Unmarshal(configurationText, &config); err != nil {
		panic(err)
	}
	routes, _ := config["routes"].([]any)
	for _, each := range routes {
		fields, _ := each.(map[string]any)
		if fields["name"] == route {
			maps.Copy(fields, changes)
			// A change of the configuration has a version of its own.
			if version, ok := changes["configurationVersion"]; ok {
				delete(fields, "configurationVersion")
				config["version"] = version
			}
		}
	}
	text, _ := json.Marshal(config)
	return text
}

// engines starts engines of one version: of each five, two compute prompts and three answers.
func (w *world) engines(prefill, decode int, version string) (decoders, prefillers []*replica, err error) {
	for n := range prefill + decode {
		spec := replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xe0+n), service: "llm", zone: string(rune('a' + n%2)), stage: "decode", version: version, slots: 64,
			pause: 50 * time.Millisecond, prefill: 20 * time.Millisecond, events: 40,
		}
		if n < prefill {
			spec.stage = "prefill"
		}
		r, err := w.addReplica(spec)
		if err != nil {
			return nil, nil, err
		}
		if n < prefill {
			prefillers = append(prefillers, r)
		} else {
			decoders = append(decoders, r)
		}
	}
	return decoders, prefillers, nil
}

// versionsCase replaces the software of engines in place, one after the other, while the
// store is down, and counts the streams that hold events of two versions.
func versionsCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	decoders, _, err := w.engines(8, 4, "v1")
	if err != nil {
		return false, err
	}
	if err := w.addGateways(program, cloudAddress, 2); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var streams sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, cut, refused := 0, 0, 0, 0
	stop := make(chan struct{})
	for _, g := range w.gateways {
		streams.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			ticker := time.NewTicker(60 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				streams.Go(func() {
					id := w.newID()
					w.rec.add("client sends %s to %s", id, g.name)
					got := do(client, g.frontAddress(), call{
						id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: id,
						prefix: fmt.Sprintf("c0ffee:800,%s:200", id), tokens: "1000,40",
					}, 40)
					w.rec.add("client of %s: status %d, last event %d, written by %v of %v, whole %v, %v", id, got.status, got.lastEvent, got.writers, got.versions, got.whole, got.err)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case got.status != http.StatusOK:
						refused++
					case got.whole:
						whole++
					default:
						cut++
					}
					if len(got.versions) > 1 {
						mixed++
						w.rec.say("request %s via %s: one stream holds events of %v, written by %v", id, g.name, got.versions, got.writers)
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.rec.say("the store is down")
		w.store.setFault(all, storeBusy)
	}
	time.Sleep(500 * time.Millisecond)
	// The software of four of the twelve engines is replaced in place, one engine at a time.
	for _, r := range decoders {
		r.crash()
		time.Sleep(500 * time.Millisecond)
		if err := r.start("v2"); err != nil {
			return false, err
		}
		w.rec.say("%s is back with version v2", r.spec.id)
		time.Sleep(1100 * time.Millisecond)
	}
	if trouble {
		w.rec.say("the store is back")
		w.store.setFault(all, storeSound)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	streams.Wait()
	w.rec.say("streams: %d whole, %d cut, %d refused; %d hold events of two versions", whole, cut, refused, mixed)
	return mixed > 2, nil
}

// scalingConfiguration returns the operator's configuration, with replicas of the engines'
// service to be ordered in some zones.
func scalingConfiguration(zones ...string) []byte {
	var config map[string]any
	if err := json.Unmarshal(configurationText, &config); err != nil {
		panic(err)
	}
	prices := map[string]float64{}
	for _, zone := range zones {
		prices[zone] = 1
	}
	services, _ := config["services"].([]any)
	engines, _ := services[0].(map[string]any)
	engines["scaling"] = map[string]any{"minimum": 1, "maximum": 12, "bootS": 4.0, "spotPrice": 0.18, "zonePrices": prices}
	text, _ := json.Marshal(config)
	return text
}
