package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// quietTime is how long the second tenant sends nothing between its two batches.
	quietTime = 63 * time.Second
	// firstPart is the first part of all its prompts.
	firstPart = "ca7a1060"
)

// blameCase has a tenant send two batches whose prompts share their first part. In the second
// one some prompts hold a part that crashes engines.
func blameCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
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
	var mu sync.Mutex
	type tried struct {
		sent  float64
		begun bool
	}
	var sound []tried
	send := func(n int, poisoned bool) {
		id := w.newID()
		g := w.gateways[n%len(w.gateways)]
		prefix := fmt.Sprintf("%s:800,b%07x:500,%s:200", firstPart, n, id)
		if poisoned {
			prefix = fmt.Sprintf("%s:800,%s:500,%s:200", firstPart, poisonPart, id)
		}
		sent := w.rec.now()
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: batchKey, deadline: 5 * time.Second, body: id,
			prefix: prefix, tokens: "1500,40",
		}, 4)
		w.rec.add("client of %s via %s: prompt %s, status %d, whole %v, %v", id, g.name, prefix, got.status, got.whole, got.err)
		if !poisoned {
			mu.Lock()
			sound = append(sound, tried{sent, got.status == http.StatusOK})
			mu.Unlock()
		}
	}
	var batch sync.WaitGroup
	w.rec.say("the first batch")
	for n := range 40 {
		batch.Go(func() { send(n, false) })
		time.Sleep(100 * time.Millisecond)
	}
	batch.Wait()
	time.Sleep(quietTime)
	w.rec.say("the second batch")
	if trouble {
		for n := range 6 {
			batch.Go(func() { send(n, true) })
		}
	}
	time.Sleep(300 * time.Millisecond)
	for n := range 100 {
		batch.Go(func() { send(40+n, false) })
		if trouble && n%10 == 9 {
			batch.Go(func() { send(n, true) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	batch.Wait()
	close(stop)
	traffic.Wait()
	var crashes []arrival
	for _, each := range w.arrivals.all() {
		if each.kind == "run" && strings.Contains(each.prefix, poisonPart) {
			crashes = append(crashes, each)
			w.rec.say("crash %d at %.3f: %s at %s", len(crashes), each.at, each.id, each.replica)
		}
	}
	// The span that is judged: from twice contactMs after the fifth crash.
	from := w.rec.now() - 14
	if len(crashes) > 0 {
		from = crashes[min(4, len(crashes)-1)].at + 6
	}
	before, begunBefore, late, begunLate := 0, 0, 0, 0
	for _, each := range sound {
		switch {
		case each.sent < 20:
			before++
			if each.begun {
				begunBefore++
			}
		case each.sent >= from:
			late++
			if each.begun {
				begunLate++
			}
		}
	}
	w.rec.say("sound requests with the tenant's key: %d of %d began outside the disruption, %d of %d from %.3f on", begunBefore, before, begunLate, late, from)
	if before < 20 || late < 20 {
		return false, fmt.Errorf("too few sound requests")
	}
	return float64(begunLate)/float64(late) < float64(begunBefore)/float64(before)/2, nil
}
