package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// sharedParts is the number of parts that all prompts share before the one that crashes engines.
	sharedParts = 17
	// partsFor is how long requests with the part come, and partsEvery the time between two.
	partsFor   = 40 * time.Second
	partsEvery = time.Second
)

// partsCase sends prompts of many parts, one of which crashes engines in some of them.
func partsCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	decoders, _, err := w.engines(8, 12, "v1")
	if err != nil {
		return false, err
	}
	for _, r := range decoders {
		r.spec.events = 20
		r.setBehavior(crashOnPoison)
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	shared := make([]string, sharedParts)
	for n := range shared {
		shared[n] = fmt.Sprintf("5ac0%04x:60", n)
	}
	prompt := func(part, id string) string {
		return strings.Join(shared, ",") + "," + part + ":300," + id + ":200"
	}
	var mu sync.Mutex
	sound, whole := 0, 0
	send := func(g *gateway, poisoned bool) {
		id := w.newID()
		part := "900d" + id[len(id)-4:]
		if poisoned {
			part = poisonPart
			w.rec.add("client sends %s with the part that crashes engines to %s", id, g.name)
		}
		client := newClient()
		defer client.CloseIdleConnections()
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: id,
			prefix: prompt(part, id), tokens: fmt.Sprintf("%d,20", 60*sharedParts+500),
		}, 20)
		w.rec.add("client of %s via %s: part %s, status %d, last event %d, whole %v, %v", id, g.name, part, got.status, got.lastEvent, got.whole, got.err)
		mu.Lock()
		defer mu.Unlock()
		if !poisoned {
			sound++
			if got.whole {
				whole++
			}
		}
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, g := range w.gateways {
		traffic.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				traffic.Go(func() { send(g, false) })
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n := range int(partsFor / partsEvery) {
		if trouble {
			traffic.Go(func() { send(w.gateways[n%len(w.gateways)], true) })
		}
		time.Sleep(partsEvery)
	}
	close(stop)
	traffic.Wait()
	// The bound: more than three requests later than contactMs after the fifth crash.
	var crashes []arrival
	for _, each := range w.arrivals.all() {
		if each.kind == "run" && strings.Contains(each.prefix, poisonPart) {
			crashes = append(crashes, each)
		}
	}
	late := 0
	for n, each := range crashes {
		if n > 4 && each.at > crashes[4].at+3 {
			late++
		}
		w.rec.add("crash %d at %.3f: %s at %s", n+1, each.at, each.id, each.replica)
	}
	w.rec.say("%d crashes; %d requests with the part reached engines later than contactMs after the fifth one; %d of %d sound streams were whole", len(crashes), late, whole, sound)
	return late > 3, nil
}
