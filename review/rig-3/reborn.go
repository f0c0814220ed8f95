package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of a replica that crashes and starts again cut off from the store.
const (
	rebornReplicas = 5
	rebornPause    = 35 * time.Millisecond
	cutTime        = 5 * time.Second
	downTime       = 400 * time.Millisecond
	calmTime       = 2 * time.Second
	settleTime     = 10 * time.Second
	takeUps        = 4
)

// reborn cuts one replica of five off from the store, where it crashes and starts again with another
// software version. Clients' connections break now and then, and they take their streams up again.
func reborn(w *world) (int, error) {
	for i := range rebornReplicas {
		r := &replica{service: "llm", stage: "decode", pause: 80 * time.Millisecond}
		if err := w.addReplica(r, fmt.Sprintf("i-%d", i), "v1"); err != nil {
			return 2, err
		}
	}
	w.configure()
	if err := w.startDaemons(3); err != nil {
		return 2, err
	}
	time.Sleep(contactTime + 2*time.Second)
	end := make(chan struct{})
	var all sync.WaitGroup
	var begun, takenUp, wentOn, mixed atomic.Int64
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(rebornPause):
			}
			all.Go(func() {
				id := fmt.Sprintf("s-%d", i)
				prompt := fmt.Sprintf("5c1e07a2:80,%x:20", 4096+i)
				got := w.send(w.daemons[i%len(w.daemons)], call{id: id, path: "/stream/x", body: id, prompt: prompt, leaveAfter: 3})
				if len(got.data) == 0 {
					return
				}
				begun.Add(1)
				versions := map[string]bool{}
				for _, v := range got.data {
					versions[v] = true
				}
				if !got.whole && len(got.data) < streamSize {
					takenUp.Add(1)
					next := w.takeUp(i, call{path: "/stream/x", body: id, prompt: prompt, after: len(got.data), began: id})
					if len(next.data) > 0 {
						wentOn.Add(1)
					}
					for _, v := range next.data {
						versions[v] = true
					}
				}
				if len(versions) > 1 {
					mixed.Add(1)
					w.rec.note("stream %s holds events of two software versions", id)
				}
			})
		}
	})
	time.Sleep(settleTime)
	if troubled() {
		if err := cutAndCrash(w, w.decoding()); err != nil {
			return 2, err
		}
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(calmTime)
	close(end)
	all.Wait()
	return w.verdict(mixed.Load() > 2, "%d streams hold events of two software versions; %d begun, %d taken up, %d of these went on",
		mixed.Load(), begun.Load(), takenUp.Load(), wentOn.Load()), nil
}

// takeUp takes a stream up again, at most takeUps times within the client's deadline, and comes back after
// a refusal when it says.
func (w *world) takeUp(first int, c call) answer {
	deadline := time.Now().Add(busyTimeout)
	var got answer
	for i := 1; i <= takeUps && time.Now().Before(deadline); i++ {
		c.id = fmt.Sprintf("%s-again-%d", c.began, i)
		if got = w.send(w.daemons[(first+i)%len(w.daemons)], c); got.status != 503 {
			return got
		}
		time.Sleep(min(max(got.retryAfter, 50*time.Millisecond), time.Until(deadline)/3))
	}
	return got
}

// decoding returns a replica of the decode stage.
func (w *world) decoding() *replica {
	for _, r := range w.replicas {
		r.mu.Lock()
		ok := r.stage == "decode" && !r.busy
		r.mu.Unlock()
		if ok {
			return r
		}
	}
	return w.replicas[0]
}

// cutAndCrash cuts a replica off from the store for cutTime, unless ONLY_RESTART is set; it crashes and
// starts again under its id with another software version.
func cutAndCrash(w *world, r *replica) error {
	r.beat()
	r.mu.Lock()
	r.cut = os.Getenv("ONLY_RESTART") == ""
	id := r.id
	r.mu.Unlock()
	w.rec.note("replica %s is cut off from the store", id)
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	r.crash()
	time.Sleep(downTime)
	if err := r.start(id, "v2"); err != nil {
		return err
	}
	time.Sleep(cutTime - time.Since(began))
	r.mu.Lock()
	r.cut = false
	r.mu.Unlock()
	w.rec.note("the cut of replica %s heals", id)
	r.beat()
	return nil
}
