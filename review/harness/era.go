package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// eraCase has the store come back from an older copy just after a usage report. The process
// that made the report is killed then, and the other machine is frozen for some seconds, from
// before the window was closed.
func eraCase(w *world, program, cloudAddress string, trouble bool) (bool, error) {
	without := os.Getenv("WITHOUT")
	freeze := trouble && without != "freeze"
	kill := trouble && without != "kill"
	drill := trouble && without != "drill"
	w.store.put("operator", word("configuration"), configuration("", nil))
	for _, id := range []string{"i-000000a1", "i-000000a2", "i-000000a3", "i-000000a4"} {
		if _, err := w.addReplica(replicaSpec{id: id, service: "ledger", zone: "a", version: "v1", slots: 6, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := w.addGateways(program, cloudAddress, 2); err != nil {
		return false, err
	}
	reporter, other := w.gateways[0], w.gateways[1]
	if err := w.startReporter(reporter); err != nil {
		return false, err
	}
	if err := w.startOther(other); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, g := range w.gateways {
		traffic.Go(func() { w.plainRequests(g, stop, &traffic) })
	}
	time.Sleep(8 * time.Second)
	reports := w.cloud.reports()
	if len(reports) == 0 || reports[len(reports)-1].holder != reporter.name {
		return false, fmt.Errorf("%s does not report the usage: %d reports", reporter.name, len(reports))
	}
	end := nextWindowEnd(time.Now().Add(time.Second))
	time.Sleep(time.Until(end.Add(freezeFrom)))
	if freeze {
		other.signal(syscall.SIGSTOP)
		w.rec.say("%s is frozen, %v after the end of the window", other.name, time.Since(end))
	}
	frozenAt := time.Now()
	thawed := make(chan struct{})
	go func() {
		time.Sleep(freezeTime)
		if freeze {
			other.signal(syscall.SIGCONT)
			w.rec.say("%s wakes after %v", other.name, time.Since(frozenAt))
		}
		close(thawed)
	}()
	time.Sleep(time.Until(end.Add(5 * time.Second)))
	copied := w.store.copyOf()
	w.rec.say("the copy is taken, %v after the end of the window", time.Since(end))
	time.Sleep(time.Until(end.Add(7500 * time.Millisecond)))
	accepted := make(chan struct{})
	w.cloud.setOnAccept(func() {
		if drill {
			w.store.setFault(all, storeBusy)
		}
		if kill {
			reporter.kill()
		}
		close(accepted)
	})
	<-accepted
	w.rec.say("the platform has accepted a report, %v after the end of the window", time.Since(end))
	if kill {
		w.rec.say("the process of %s is killed", reporter.name)
	}
	if drill {
		w.rec.say("the store is away")
		time.Sleep(time.Second)
		w.store.restore(copied)
		// The operator and the replicas write again.
		w.store.setFault(all, storeSound)
		w.store.put("operator", word("configuration"), configuration("", nil))
		for _, r := range w.replicas {
			r.writeEntry()
		}
		w.rec.say("the store is back from the copy")
	}
	<-thawed
	time.Sleep(2500 * time.Millisecond)
	if kill {
		if err := reporter.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	traffic.Wait()
	for _, each := range w.cloud.reports() {
		w.rec.say("report of window %d from %s, token %d: %v -> %d", each.window, each.holder, each.fencing, each.counts, each.status)
	}
	twice := w.cloud.acceptedTwice()
	for _, each := range twice {
		w.rec.say("accepted with different counts: %s", each)
	}
	return len(twice) > 0, nil
}

const (
	// freezeTime is how long the other machine is frozen, freezeFrom how long after the end of
	// the window that begins.
	freezeTime = 7190 * time.Millisecond
	freezeFrom = 920 * time.Millisecond
)

// startReporter starts the process that takes the duty of the usage reports. It looks for
// windows to report each half second from then on; the process is stopped and started again
// until that is soon after the full second, so that the freeze need not be longer.
func (w *world) startReporter(g *gateway) error {
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); {
		began := time.Now()
		if err := g.start(); err != nil {
			return err
		}
		taken := w.store.lastWrite("duty/usage")
		for taken.Before(began) {
			if time.Since(began) > 8*time.Second {
				return fmt.Errorf("%s does not take the duty of the usage reports", g.name)
			}
			time.Sleep(5 * time.Millisecond)
			taken = w.store.lastWrite("duty/usage")
		}
		phase := time.Duration(taken.UnixNano()) % (500 * time.Millisecond)
		w.rec.say("%s takes the duty of the usage reports, %v after a half second", g.name, phase)
		if phase < 85*time.Millisecond {
			return nil
		}
		g.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		g.kill()
	}
	return fmt.Errorf("%s does not report soon after the full second", g.name)
}

// startOther starts the process that is frozen later. It writes a checkpoint of its counts each
// second from its start on; it is started so that this is shortly before the full second.
func (w *world) startOther(g *gateway) error {
	at := 940 * time.Millisecond
	for range 6 {
		sleepToFraction(at)
		if err := g.start(); err != nil {
			return err
		}
		if err := w.awaitReady(10 * time.Second); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		phase := time.Duration(w.store.lastWrite("tally/open/"+g.name).UnixNano()) % time.Second
		w.rec.say("%s writes its checkpoints %v after the full second", g.name, phase)
		if phase > freezeFrom+10*time.Millisecond && phase < 990*time.Millisecond {
			return nil
		}
		at = (at + 955*time.Millisecond - phase + time.Second) % time.Second
		g.signal(syscall.SIGTERM)
		select {
		case <-g.ended:
		case <-time.After(8 * time.Second):
			g.kill()
		}
	}
	return fmt.Errorf("%s does not write its checkpoints shortly before the full second", g.name)
}

// usageWindow is the length of a usage window.
const usageWindow = 5 * time.Second

// nextWindowEnd returns the end of the window that contains a time.
func nextWindowEnd(at time.Time) time.Time {
	return time.UnixMilli((at.UnixMilli()/usageWindow.Milliseconds() + 1) * usageWindow.Milliseconds())
}

// sleepToFraction sleeps until a fraction of a second of the time of day.
func sleepToFraction(at time.Duration) {
	now := time.Now()
	next := now.Truncate(time.Second).Add(at)
	for !next.After(now) {
		next = next.Add(time.Second)
	}
	time.Sleep(time.Until(next))
}

// setOnAccept sets what happens once when the next report was accepted.
func (c *cloud) setOnAccept(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onAccept = f
}

// reports returns the usage reports that the platform has got.
func (c *cloud) reports() (list []cloudCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, each := range c.calls {
		if each.subject == "usage" {
			list = append(list, each)
		}
	}
	return list
}

// acceptedTwice describes the windows that were accepted with different counts.
func (c *cloud) acceptedTwice() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.twice...)
}

// plainRequests sends safe requests to a process until stop is closed.
func (w *world) plainRequests(g *gateway, stop chan struct{}, traffic *sync.WaitGroup) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(5 * time.Millisecond)
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
				id: id, method: http.MethodGet, path: "/balance/x", host: reviewHost, key: "k1", deadline: 800 * time.Millisecond,
			}, 0)
			w.rec.add("client of %s via %s: status %d, %v", id, g.name, got.status, got.err)
		})
	}
}
