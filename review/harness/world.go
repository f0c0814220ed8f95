package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// world is a small deployment: the platform's stand-ins, replicas and the system's processes.
type world struct {
	rec      *record
	store    *store
	cloud    *cloud
	arrivals *arrivals
	gateways []*gateway
	replicas []*replica
	folder   string
	// links are the paths of the machines to the platform, if they may be cut.
	links map[string][]*link
	// fencing is bounds.fencingRequired.
	fencing bool
	ids     struct {
		sync.Mutex
		n int
	}
}

// newWorld starts the stand-ins.
func newWorld(rec *record, withEra bool) (*world, string, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, "", err
	}
	w := &world{rec: rec, store: newStore(rec), arrivals: &arrivals{}, folder: folder, links: map[string][]*link{}, fencing: true}
	w.store.withEra = withEra
	var address string
	w.cloud, address, err = newCloud(rec)
	return w, address, err
}

// addGateways prepares the machines.
func (w *world) addGateways(program, cloudAddress string, count int) error {
	second, third, err := freeNetwork(count)
	if err != nil {
		return err
	}
	for n := range count {
		zone := string(rune('a' + n%2))
		g := &gateway{
			rec: w.rec, name: fmt.Sprintf("front-%s-%d", zone, n+1), address: fmt.Sprintf("127.%d.%d.%d", second, third, 10+n),
			folder: w.folder, program: program, front: 18405, ready: 18406, peer: 17660,
		}
		storeAddress, err := w.store.serve(g.name)
		if err != nil {
			return err
		}
		g.storeAddress = storeAddress
		if err := os.WriteFile(g.file("settings"), []byte(g.settingsOf(zone, storeAddress, cloudAddress, true, w.fencing)), 0o600); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// addLinkedGateways prepares the machines. Their paths to the platform may be cut.
func (w *world) addLinkedGateways(program, cloudAddress string, count int) error {
	if err := w.addGateways(program, cloudAddress, count); err != nil {
		return err
	}
	w.cloud.healed = func(machine string) time.Time {
		if links := w.links[machine]; len(links) > 0 {
			_, healedAt, _ := links[0].state()
			return healedAt
		}
		return time.Time{}
	}
	for n, g := range w.gateways {
		toStore, err := newLink(w.rec, g.name, g.storeAddress)
		if err != nil {
			return err
		}
		toCloud, err := newLink(w.rec, g.name, cloudAddress)
		if err != nil {
			return err
		}
		w.links[g.name] = []*link{toStore, toCloud}
		zone := string(rune('a' + n%2))
		if err := os.WriteFile(g.file("settings"), []byte(g.settingsOf(zone, toStore.address(), toCloud.address(), true, w.fencing)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startGateways starts all processes and waits until they are ready.
func (w *world) startGateways() error {
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addReplica starts a replica.
func (w *world) addReplica(spec replicaSpec) (*replica, error) {
	r, err := newReplica(w.rec, w.store, w.arrivals, spec)
	if err == nil {
		w.replicas = append(w.replicas, r)
	}
	return r, err
}

// newID returns a new request ID.
func (w *world) newID() string {
	w.ids.Lock()
	defer w.ids.Unlock()
	w.ids.n++
	return fmt.Sprintf("%016x", uint64(os.Getpid())<<32|uint64(w.ids.n))
}

// close ends everything that was started.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.running() {
			g.kill()
		}
	}
	for _, links := range w.links {
		for _, l := range links {
			l.close()
		}
	}
	for _, r := range w.replicas {
		r.crash()
	}
	w.store.close()
	w.cloud.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
}
