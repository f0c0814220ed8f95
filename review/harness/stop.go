package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// keptConnections are the connections that clients keep to the machine that is stopped.
	// Each sends a request every keptInterval, as long as it is open.
	keptConnections = 30
	keptInterval    = 6 * time.Second
	// usualEvents and longEvents are the events of a usual and of a long stream: the mean
	// and the most of the site's first kind of request.
	usualEvents = 9
	// excusedFor is how long after the SIGTERM requests may be sent whose replica is still at work
	// in the last sixth of the grace period.
	excusedFor = 3 * time.Second
	longEvents = 37
)

// ended reports whether a replica has ended.
func (w *world) ended(replicas []*replica) bool {
	for _, r := range replicas {
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if !up {
			return true
		}
	}
	return false
}

// stopCase stops a machine as planned while clients use the connections that they keep to it.
// Some seconds after the request to stop, three of them send a longer request than usual.
func stopCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.store.put("operator", word("configuration"), configuration("", nil))
	decoders, _, err := w.engines(8, 4, "v1")
	if err != nil {
		return false, err
	}
	for _, r := range decoders {
		r.spec.events, r.spec.pause = 0, 100*time.Millisecond
	}
	if err := w.addGateways(program, cloudAddress, 2); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stopped := w.gateways[0]
	began := time.Now()
	// The machine is stopped within the fourth round.
	stopAt := began.Add(20 * time.Second)
	over := began.Add(32 * time.Second)
	var mu sync.Mutex
	lost, excused, whole, refused, none := 0, 0, 0, 0, 0
	var clients sync.WaitGroup
	for n := range keptConnections {
		clients.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			next := began.Add(time.Duration(n) * keptInterval / keptConnections)
			for ; next.Before(over); next = next.Add(keptInterval) {
				time.Sleep(time.Until(next))
				after := time.Since(stopAt)
				events := usualEvents
				if after > 4100*time.Millisecond && after < 4700*time.Millisecond {
					events = longEvents
				}
				id := w.newID()
				c := call{
					id: id, method: http.MethodPost, path: "/audit/x", host: reviewHost, key: "k1", deadline: 5 * time.Second, body: id,
					prefix: fmt.Sprintf("c0ffee:800,%s:200", id), tokens: fmt.Sprintf("1000,%d", events),
				}
				if trouble && after > 4800*time.Millisecond {
					// The client has no connection any more.
					return
				}
				sent, sentAt := w.rec.now(), time.Now()
				got := do(client, stopped.frontAddress(), c, events)
				w.rec.add("client %d: %s, %d events, sent at %.3f, %.3f s after the request to stop: status %d, last event %d, whole %v, %v",
					n, id, events, sent, after.Seconds(), got.status, got.lastEvent, got.whole, got.err)
				mu.Lock()
				switch {
				case got.status == http.StatusOK && got.whole:
					whole++
				case got.status == http.StatusOK && (after <= excusedFor || time.Since(sentAt) >= c.deadline || w.ended(decoders)):
					// The rule excuses these.
					excused++
				case got.status == http.StatusOK:
					lost++
					w.rec.say("client %d: request %s of %d events, sent %.3f s after the request to stop, ends at %.3f s after event %d: %v",
						n, id, events, after.Seconds(), time.Since(stopAt).Seconds(), got.lastEvent, got.err)
				case got.status != 0:
					refused++
				default:
					none++
				}
				mu.Unlock()
				if trouble && after > 0 {
					// The answer has ended the connection: the client's next one goes to
					// another machine.
					return
				}
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		w.rec.say("%s gets the request to stop", stopped.name)
		stopped.signal(syscall.SIGTERM)
		// The platform kills the process after gracePeriodS.
		select {
		case <-stopped.ended:
			w.rec.say("%s has ended after %.3f s", stopped.name, time.Since(stopAt).Seconds())
		case <-time.After(8 * time.Second):
			stopped.kill()
		}
	}
	clients.Wait()
	w.rec.say("%d whole, %d refused, %d without an answer, %d excused; %d streams end within their answer", whole, refused, none, excused, lost)
	return lost > 0, nil
}
