package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poisonPart is the part of a prompt that crashes each engine that begins to answer it.
const poisonPart = "badc0de"

// crashOnPoison is a behavior: the engine ends as it begins to answer a prompt with the
// part, and is back under its id after some seconds.
func crashOnPoison(_ http.ResponseWriter, q *http.Request, r *replica) bool {
	if !strings.Contains(q.Header.Get(word("prompt")), poisonPart) || q.Header.Get(word("stage")) == "prefill" {
		return false
	}
	r.crash()
	time.AfterFunc(2*time.Second, func() { _ = r.start(r.spec.version) })
	panic(http.ErrAbortHandler)
}

// poisonCase sends prompts with a part that crashes engines, and kills all processes of the
// system once.
func poisonCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	decoders, _, err := w.engines(16, 8, "v1")
	if err != nil {
		return false, err
	}
	for _, r := range decoders {
		r.spec.events = 4
		r.setBehavior(crashOnPoison)
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, g := range w.gateways {
		traffic.Go(func() { w.soundStreams(g, 100*time.Millisecond, stop, &traffic) })
	}
	client := newClient()
	poison := func(n int) {
		id := w.newID()
		g := w.gateways[n%len(w.gateways)]
		w.rec.say("client sends %s with the part that crashes engines to %s", id, g.name)
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: id,
			prefix: fmt.Sprintf("c0ffee:800,%s:500,%s:200", poisonPart, id), tokens: "1500,40",
		}, 4)
		w.rec.say("client of %s: status %d, %v", id, got.status, got.err)
	}
	herd := func() error {
		if !trouble {
			time.Sleep(500 * time.Millisecond)
			return nil
		}
		w.rec.say("all processes of the system are killed")
		for _, g := range w.gateways {
			g.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range w.gateways {
			if err := g.start(); err != nil {
				return err
			}
		}
		return w.awaitReady(10 * time.Second)
	}
	time.Sleep(2 * time.Second)
	var first sync.WaitGroup
	for n := range 6 {
		first.Go(func() { poison(n) })
	}
	first.Wait()
	for n := range 2 {
		time.Sleep(3 * time.Second)
		poison(n)
	}
	if err := herd(); err != nil {
		return false, err
	}
	// The processes have run for longer than contactMs by then.
	time.Sleep(5 * time.Second)
	for n := range 5 {
		poison(n)
		time.Sleep(2500 * time.Millisecond)
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
		w.rec.say("crash %d at %.3f: %s at %s", n+1, each.at, each.id, each.replica)
	}
	w.rec.say("%d requests with the part reached engines later than contactMs after the fifth crash", late)
	return late > 3, nil
}

// soundStreams sends streams without the part to a process until stop is closed.
func (w *world) soundStreams(g *gateway, every time.Duration, stop chan struct{}, traffic *sync.WaitGroup) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if !g.running() {
			continue
		}
		traffic.Go(func() {
			id := w.newID()
			got := do(client, g.frontAddress(), call{
				id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: id,
				prefix: fmt.Sprintf("c0ffee:800,%s:200", id), tokens: "1000,40",
			}, 4)
			w.rec.add("client of %s via %s: status %d, whole %v, %v", id, g.name, got.status, got.whole, got.err)
		})
	}
}
