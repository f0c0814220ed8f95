package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// patienceTimeout is the timeoutMs of all streaming routes, the longest in the configuration.
	// patienceDeadline is how long the clients wait for their whole streams.
	patienceTimeout  = 2500
	patienceDeadline = 9 * time.Second
	// patienceObjective and patienceGap are the routes' objective and longest pause.
	patienceObjective = 1200 * time.Millisecond
	patienceGap       = 300 * time.Millisecond
	// patienceEvents and patiencePause make a stream of 2.4 s, which ends before the time-out.
	patienceEvents = 48
	patiencePause  = 50 * time.Millisecond
	// patienceRate is the number of streams that begin in a second.
	patienceRate = 150
	// patienceServes is how long an engine serves on after it has reported that it is draining:
	// drainMs and a little longer.
	patienceServes = 2050 * time.Millisecond
	// patienceBackoff is a client's first pause before it takes its stream up; it doubles.
	patienceBackoff = 300 * time.Millisecond
)

// patienceConfiguration returns the operator's configuration.
func patienceConfiguration() []byte {
	var config map[string]any
	if err := json.Unmarshal(configurationText, &config); err != nil {
		panic(err)
	}
	routes, _ := config["routes"].([]any)
	for _, each := range routes {
		fields, _ := each.(map[string]any)
		if fields["kind"] == "streaming" {
			fields["timeoutMs"], fields[word("objective")] = patienceTimeout, patienceObjective.Milliseconds()
		}
	}
	text, _ := json.Marshal(config)
	return text
}

// patienceCase ends a release, in which the last engines of one software version are replaced one
// after the other. The clients wait longer than the route's timeoutMs, and take up their streams
// that ended with the engines.
func patienceCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), patienceConfiguration())
	engine := func(id int, stage, version string) (*replica, error) {
		return w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", id), service: "llm", zone: string(rune('a' + id%2)), stage: stage, version: version, slots: 64,
			pause: patiencePause, prefill: 10 * time.Millisecond, events: patienceEvents,
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
	time.Sleep(6 * time.Second)
	gap := patience(patienceObjective, patienceGap)
	send := func(n int, left, first time.Duration, lastEvent int, resumes string) (string, answer) {
		id := w.newID()
		client := newClient()
		defer client.CloseIdleConnections()
		g := w.gateways[n%len(w.gateways)]
		got := do(client, g.frontAddress(), call{
			id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: left, body: id,
			prefix: fmt.Sprintf("c0ffee:800,%08x:200", n), tokens: fmt.Sprintf("1000,%d", patienceEvents), lastEvent: lastEvent, resumes: resumes, first: first, gap: gap,
		}, patienceEvents)
		w.rec.add("client of %s via %s: takes up %q after event %d: status %d, last event %d, versions %v, whole %v, %v",
			id, g.name, resumes, lastEvent, got.status, got.lastEvent, got.versions, got.whole, got.err)
		return id, got
	}
	var mu sync.Mutex
	whole, cut, goesOn, mixed := 0, 0, 0, 0
	// play is one client: it takes its stream up until it goes on or the client loses patience.
	play := func(n int) {
		sent := time.Now()
		left := func() time.Duration { return patienceDeadline - time.Since(sent) }
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
		lost, again, own := time.Now(), answer{}, patienceBackoff
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
			case <-time.After(time.Second / patienceRate):
			}
			streams.Go(func() { play(n) })
		}
	})
	time.Sleep(time.Until(began.Add(4 * time.Second)))
	// The release: a new engine starts first, then an old one drains and ends.
	var release sync.WaitGroup
	for n, r := range old {
		if !trouble {
			break
		}
		if _, err := engine(0x1e0+n, r.spec.stage, "v2"); err != nil {
			return false, err
		}
		release.Go(func() { w.leave(r, patienceServes) })
		time.Sleep(releaseGap)
	}
	release.Wait()
	time.Sleep(time.Until(began.Add(13 * time.Second)))
	close(stop)
	streams.Wait()
	w.rec.say("%d streams whole, %d ended with their engines, %d of them go on, %d hold events of two versions", whole, cut, goesOn, mixed)
	return mixed > 2, nil
}

// leave has a replica report that it is draining, serve on for some time and end.
func (w *world) leave(r *replica, serves time.Duration) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.writeEntry()
	w.rec.say("%s of %s reports that it is draining", r.spec.id, r.spec.version)
	time.Sleep(serves)
	r.crash()
	w.store.del(r.spec.id, word("entries")+r.spec.id)
	w.rec.say("%s of %s has left", r.spec.id, r.spec.version)
}
