package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// waitingTimeout is the route's timeoutMs and how long the clients wait.
	waitingTimeout = 8000
	// waitingEvents and waitingPause make a stream of 4 s.
	waitingEvents = 40
	waitingPause  = 100 * time.Millisecond
	// waitingRate is the number of streams that begin in a second: a little more than the 64 for
	// which four engines have slots.
	waitingRate = 70
	// waitingDown is how long a crashed engine is down.
	waitingDown = 2 * time.Second
	// waitingBackoff is a client's first pause before it takes its stream up; it doubles.
	waitingBackoff = 300 * time.Millisecond
	// waitingObjective and waitingGap are the route's objective and longest pause.
	waitingObjective = 600 * time.Millisecond
	waitingGap       = 300 * time.Millisecond
)

// waitingCase crashes two of twelve engines shortly before a release. The engines that are left are
// full, so that streams that clients take up wait for room when the first engine of the new software
// version comes.
func waitingCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": waitingTimeout}))
	engine := func(id int, stage, version string) (*replica, error) {
		return w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", id), service: "llm", zone: string(rune('a' + id%2)), stage: stage, version: version, slots: 64, queue: 16,
			pause: waitingPause, prefill: 10 * time.Millisecond, events: waitingEvents,
		})
	}
	var readers, writers []*replica
	for n := range 12 {
		stage := "prefill"
		if n >= 8 {
			stage = "decode"
		}
		r, err := engine(0xe0+n, stage, "v1")
		if err != nil {
			return false, err
		}
		if stage == "decode" {
			writers = append(writers, r)
		} else {
			readers = append(readers, r)
		}
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	gap := patience(waitingObjective, waitingGap)
	send := func(n int, left, first time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		g := w.gateways[n%len(w.gateways)]
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: id,
			prefix: fmt.Sprintf("c0ffee:800,%08x:200", n), tokens: fmt.Sprintf("1000,%d", waitingEvents), lastEvent: lastEvent, resumes: resumes, first: first, gap: gap,
		}, waitingEvents)
		w.rec.add("client of %s via %s: takes up %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, g.name, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	var mu sync.Mutex
	whole, cut, goesOn, mixed := 0, 0, 0, 0
	// play is one client: it takes its stream up until it goes on or the client loses patience.
	play := func(n int) {
		sent := time.Now()
		left := func() time.Duration { return waitingTimeout*time.Millisecond - time.Since(sent) }
		id, got := send(n, left(), gap, 0, "")
		mu.Lock()
		if got.whole {
			whole++
		}
		mu.Unlock()
		if got.status != http.StatusOK || got.lastEvent == 0 || got.whole {
			return
		}
		mu.Lock()
		cut++
		mu.Unlock()
		lost, again, own := time.Now(), answer{}, waitingBackoff
		for try := 1; ; try++ {
			time.Sleep(pauseBefore(own, left(), again))
			own *= 2
			if time.Since(lost) > gap || left() < 200*time.Millisecond {
				return
			}
			if _, again = send(n+try, left(), gap-time.Since(lost), got.lastEvent, id); again.status == http.StatusOK && again.lastEvent > got.lastEvent {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		goesOn++
		if again.versions[0] != got.versions[0] {
			mixed++
			w.rec.say("stream %s has events up to %d of %s, and from then on of %s", id, got.lastEvent, got.versions[0], again.versions[0])
		}
	}
	began, stop := time.Now(), make(chan struct{})
	var streams sync.WaitGroup
	streams.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(n) * time.Second / waitingRate))):
			}
			streams.Go(func() { play(n) })
		}
	})
	var release sync.WaitGroup
	if trouble {
		time.Sleep(time.Until(began.Add(6 * time.Second)))
		for n, r := range []*replica{readers[0], writers[0]} {
			r.crash()
			id, stage := 0x2e0+n, r.spec.stage
			time.AfterFunc(waitingDown, func() {
				_, _ = engine(id, stage, "v1")
			})
		}
		w.rec.say("two engines have crashed")
		time.Sleep(900 * time.Millisecond)
		// The release: a new engine starts first, then an old one drains and ends.
		for n, r := range writers[1:3] {
			if _, err := engine(0x1e0+n, r.spec.stage, "v2"); err != nil {
				return false, err
			}
			w.rec.say("an engine of v2 has started")
			release.Go(func() { w.leave(r, servesOn) })
			time.Sleep(releaseGap)
		}
	}
	release.Wait()
	time.Sleep(time.Until(began.Add(14 * time.Second)))
	close(stop)
	streams.Wait()
	w.rec.say("%d streams whole, %d broke off, %d of them go on, %d hold events of two versions", whole, cut, goesOn, mixed)
	return mixed > 2, nil
}
