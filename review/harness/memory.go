package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of the settings, in KB.
	memoryLimit = 284 << 10
	// memoryBody is the length of a request's body, of at most bodyBytes.
	memoryBody = 3700 << 10
	// memoryEvents and memoryPause make a stream of 4 s.
	memoryEvents = 40
	memoryPause  = 100 * time.Millisecond
	// memoryRate is the number of requests a second at each machine.
	memoryRate = 5.0
	// burstTimes is how many times the traffic comes in a burst, burstFor how long it lasts.
	burstTimes = 1.9
	burstFor   = 14 * time.Second
	// bursts is their number, burstEvery the time from one to the next.
	bursts     = 2
	burstEvery = 15 * time.Second
)

// anonymous returns the anonymous memory of a process in KB.
func anonymous(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// memoryCase has many users come at once. Their requests have long bodies, within the limits. The
// platform kills a process whose memory exceeds limits.memoryMb, and starts it again.
func memoryCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	for n := range 12 {
		stage := "decode"
		if n < 4 {
			stage = "prefill"
		}
		if _, err := w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xe0+n), service: "llm", zone: string(rune('a' + n%2)), stage: stage, version: "v1", slots: 64,
			pause: memoryPause, prefill: 20 * time.Millisecond, events: memoryEvents,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	body := string(bytes.Repeat([]byte("shelf "), memoryBody/6))
	var mu sync.Mutex
	kills, peak := map[string]int{}, map[string]int{}
	sent, whole, broken := 0, 0, 0
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, g := range w.gateways {
		traffic.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				g.mu.Lock()
				pid := g.process.Process.Pid
				g.mu.Unlock()
				used := anonymous(pid)
				mu.Lock()
				peak[g.name] = max(peak[g.name], used)
				mu.Unlock()
				if used <= memoryLimit {
					continue
				}
				w.rec.say("%s has %d MB of memory, over limits.memoryMb: the platform kills it", g.name, used>>10)
				g.kill()
				mu.Lock()
				kills[g.name]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				_ = g.start()
			}
		})
	}
	send := func(g *gateway) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: body,
			prefix: "c0ffee:800," + id + ":200", tokens: fmt.Sprintf("1000,%d", memoryEvents),
		}, memoryEvents)
		w.rec.add("client of %s via %s: status %d, last event %d, whole %v, %v", id, g.name, got.status, got.lastEvent, got.whole, got.err)
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case got.whole:
			whole++
		case got.lastEvent > 0:
			broken++
		}
	}
	began := time.Now()
	for _, g := range w.gateways {
		traffic.Go(func() {
			for {
				rate := memoryRate
				if since := time.Since(began) - 8*time.Second; trouble && since > 0 && since < bursts*burstEvery && since%burstEvery < burstFor {
					rate *= burstTimes
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(time.Second) / rate)):
				}
				if g.running() {
					traffic.Go(func() { send(g) })
				}
			}
		})
	}
	time.Sleep(8*time.Second + bursts*burstEvery)
	close(stop)
	traffic.Wait()
	machines := 0
	for _, g := range w.gateways {
		w.rec.say("%s: at most %d MB, killed %d times", g.name, peak[g.name]>>10, kills[g.name])
		if kills[g.name] >= 3 {
			machines++
		}
	}
	w.rec.say("%d streams, %d whole, %d broken off", sent, whole, broken)
	return machines >= 2, nil
}
