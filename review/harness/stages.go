package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stagesTimeout is the route's timeoutMs and how long the clients wait.
	stagesTimeout = 10000
	// stagesEvents and stagesPause make a stream of 6 s.
	stagesEvents = 60
	stagesPause  = 100 * time.Millisecond
	// stagesRate is the number of streams that begin in a second.
	stagesRate = 24
	// stagesBackoff is a client's first pause before it takes its stream up; it doubles.
	stagesBackoff = 300 * time.Millisecond
	// stagesObjective and stagesGap are the route's objective and longest pause.
	stagesObjective = 600 * time.Millisecond
	stagesGap       = 300 * time.Millisecond
)

// stagesCase has a release replace the two engines of a software version that write answers.
// Three engines of that version go on serving: they read prompts. Clients take up the streams that
// ended with the engines that left.
func stagesCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("audit", map[string]any{"timeoutMs": stagesTimeout}))
	engine := func(id int, stage, version string) (*replica, error) {
		return w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", id), service: "llm", zone: string(rune('a' + id%2)), stage: stage, version: version, slots: 64,
			pause: stagesPause, prefill: 10 * time.Millisecond, events: stagesEvents,
		})
	}
	// Seven engines have the new version already. Of the five others three read prompts.
	var old []*replica
	for n := range 12 {
		version, stage := "v2", "prefill"
		if n >= 7 {
			version = "v1"
		}
		if n == 5 || n == 6 || n >= 10 {
			stage = "decode"
		}
		r, err := engine(0xe0+n, stage, version)
		if err != nil {
			return false, err
		}
		if version == "v1" && stage == "decode" {
			old = append(old, r)
		}
	}
	if err := w.addGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	gap := patience(stagesObjective, stagesGap)
	send := func(n int, left, first time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		g := w.gateways[n%len(w.gateways)]
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: id,
			prefix: fmt.Sprintf("c0ffee:800,%08x:200", n), tokens: fmt.Sprintf("1000,%d", stagesEvents), lastEvent: lastEvent, resumes: resumes, first: first, gap: gap,
		}, stagesEvents)
		w.rec.add("client of %s via %s: takes up %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, g.name, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	var mu sync.Mutex
	begun, sentNew, takenUp, goesOn := 0, 0, 0, 0
	// play is one client: it takes its stream up until it goes on or the client loses patience.
	play := func(n int) {
		sent := time.Now()
		left := func() time.Duration { return stagesTimeout*time.Millisecond - time.Since(sent) }
		id, got := send(n, left(), gap, 0, "")
		cut := got.status == http.StatusOK && got.lastEvent > 0 && !got.whole
		mu.Lock()
		sentNew++
		if got.status == http.StatusOK && got.lastEvent > 0 {
			begun++
		}
		if cut {
			takenUp++
		}
		mu.Unlock()
		if !cut {
			return
		}
		lost, again, own := time.Now(), answer{}, stagesBackoff
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
	}
	began, stop := time.Now(), make(chan struct{})
	var streams sync.WaitGroup
	streams.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / stagesRate):
			}
			streams.Go(func() { play(n) })
		}
	})
	time.Sleep(time.Until(began.Add(7 * time.Second)))
	// The release: a new engine of the same stage starts first, then an old one drains and ends.
	var release sync.WaitGroup
	for n, r := range old {
		if !trouble {
			break
		}
		if _, err := engine(0x1e0+n, r.spec.stage, "v2"); err != nil {
			return false, err
		}
		release.Go(func() { w.leave(r, servesOn) })
		time.Sleep(releaseGap)
	}
	release.Wait()
	time.Sleep(time.Until(began.Add(16 * time.Second)))
	close(stop)
	streams.Wait()
	w.rec.say("%d of %d new streams begin; %d streams are taken up, %d of them go on", begun, sentNew, takenUp, goesOn)
	return takenUp >= 12 && 2*goesOn*sentNew < takenUp*begun, nil
}
