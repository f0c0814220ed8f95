package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// cutTime is how long the machine that holds the duty is cut off from the platform.
	cutTime = 3400 * time.Millisecond
	// cutAfter is how long after its last orders that is: the next ones come some 1.3 s later.
	cutAfter = 1700 * time.Millisecond
	// cuts is how often a machine is cut off, cutPause the time between two cuts.
	cuts     = 5
	cutPause = 12 * time.Second
	// thawSlack is bounds.thawSlackMs.
	thawSlack = 300 * time.Millisecond
)

// holderCase cuts the machine that holds the duty of ordering replicas off from the platform
// for some seconds, while the platform has no replicas to give, so that orders are repeated.
// The platform does not check fencing tokens.
func holderCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	w.cloud.unfenced, w.cloud.dry = true, true
	w.fencing = false
	w.store.put("operator", word("configuration"), scalingConfiguration("a", "b"))
	for n, stage := range []string{"prefill", "decode", "prefill", "decode"} {
		if _, err := w.addReplica(replicaSpec{
			id: fmt.Sprintf("i-%08x", 0xe0+n), service: "llm", zone: string(rune('a' + n/2)), stage: stage, version: "v1", slots: 64,
			pause: 50 * time.Millisecond, prefill: 20 * time.Millisecond, events: 40,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addLinkedGateways(program, cloudAddress, 3); err != nil {
		return false, err
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	for n := range cuts {
		holder, err := w.awaitOrders(time.Now())
		if err != nil {
			return false, err
		}
		time.Sleep(cutAfter)
		if trouble {
			w.rec.say("cut %d: %s is cut off from the platform", n+1, holder.name)
			w.setCut(holder, true)
		}
		time.Sleep(cutTime)
		if trouble {
			w.setCut(holder, false)
			w.rec.say("the links of %s are healed", holder.name)
		}
		time.Sleep(cutPause)
	}
	return w.staleCalls() > 0, nil
}

// setCut cuts or heals the links of a machine to the platform.
func (w *world) setCut(g *gateway, cut bool) {
	for _, l := range w.links[g.name] {
		l.setCut(cut)
	}
}

// awaitOrders waits until a machine has ordered replicas after the given time, and no further
// order of the same round follows. It returns the machine.
func (w *world) awaitOrders(after time.Time) (*gateway, error) {
	from := w.rec.now()
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		calls := w.cloud.all()
		if len(calls) == 0 {
			continue
		}
		last := calls[len(calls)-1]
		if strings.HasPrefix(last.subject, "scale") && last.at > from && w.rec.now()-last.at > 0.1 {
			for _, g := range w.gateways {
				if g.name == last.holder {
					return g, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("no machine orders replicas")
}

// staleCalls counts the calls with a lower fencing token than the platform had seen for their
// duty and subject, but for those that came within thawSlack after a link of their sender healed.
func (w *world) staleCalls() (stale int) {
	type seen struct {
		fencing uint64
		holder  string
	}
	highest := map[string]seen{}
	for _, call := range w.cloud.all() {
		before := highest[call.subject]
		if call.fencing >= before.fencing {
			highest[call.subject] = seen{call.fencing, call.holder}
			continue
		}
		since := call.since
		w.rec.say("%s: a call of %s with fencing token %d comes after one of %s with %d, %.3f s after the links of %s healed",
			call.subject, call.holder, call.fencing, before.holder, before.fencing, since.Seconds(), call.holder)
		if since > thawSlack {
			stale++
		}
	}
	w.rec.say("%d calls of a machine that no longer holds the duty count", stale)
	return stale
}
