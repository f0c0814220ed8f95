package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// contactTime is the bound contactMs of the settings.
const contactTime = 3 * time.Second

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	// runs counts what ran.
	arrivals []arrival
	runs     []arrival
	// shown are the headers in which replicas were shown the client's key, by request.
	shown map[string]string
}

// arrival is a request that reached a replica.
type arrival struct {
	at                              time.Duration
	request, replica, version, body string
	prefill                         bool
}

// note writes one line with the time since the start.
func (c *recorder) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.file, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// noteShown records the header in which a replica was shown the key of a request's client, unless it is
// empty, and shownIn returns it.
func (c *recorder) noteShown(request, header string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if header != "" {
		c.shown[request] = header
	}
}

func (c *recorder) shownIn(request string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shown[request]
}

// arrival records a request that reached a replica.
func (c *recorder) arrival(request, replica, version string, prefill bool, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{time.Since(c.began), request, replica, version, body, prefill})
}

// run records a request that begins to run.
func (c *recorder) run(request, replica, version, body string) {
	c.note("request %s runs at %s", request, replica)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, arrival{time.Since(c.began), request, replica, version, body, false})
}

// daemon is one process of the system.
type daemon struct {
	name, ip string
	command  *exec.Cmd
	done     chan struct{}
}

// front returns the address for clients.
func (d *daemon) front() string { return d.ip + ":18405" }

// world is the platform, the replicas and the daemons of one case.
type world struct {
	rec      *recorder
	store    *store
	folder   string
	replicas []*replica
	daemons  []*daemon
	network  string
	key      string
	clients  http.Client
}

// newWorld starts the platform. The record is written to the current folder's case.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: &recorder{began: time.Now(), file: file, shown: make(map[string]string)}, store: newStore(), folder: folder, key: "key-of-tenant-1"}
	w.clients.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return w, nil
}

// serve serves a handler at a free port of an address.
func serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// cloud takes usage reports and orders of replicas.
func (w *world) cloud() http.Handler {
	return http.HandlerFunc(func(answer http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		w.rec.note("platform: %s %s holder %s token %s", q.URL.Path, bytes.TrimSpace(body), q.Header.Get(word("holder")), q.Header.Get(word("fence")))
		respond(answer, http.StatusOK, map[string]any{})
	})
}

// addReplica starts a replica.
func (w *world) addReplica(r *replica, id, version string) error {
	r.world, r.address = w, "127.0.0.1:0"
	if err := r.start(id, version); err != nil {
		return err
	}
	w.replicas = append(w.replicas, r)
	go r.keepBeating()
	return nil
}

// take takes a handle, named as IP:PORT/HANDLE, for a request.
func (w *world) take(source, request string) bool {
	address, handle, _ := strings.Cut(source, "/")
	for _, r := range w.replicas {
		r.mu.Lock()
		owner, ok := r.handles[handle]
		ok = ok && r.up && r.address == address && owner == request
		if ok {
			delete(r.handles, handle)
		}
		r.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// configure writes the operator's configuration.
func (w *world) configure() { w.store.put(word("configuration"), configuration) }

// startDaemons starts daemons with the command of the deploy file, and waits until all are ready.
func (w *world) startDaemons(count int) error {
	storeAddress, err := serve("127.0.0.1", w.store.handler())
	if err != nil {
		return err
	}
	cloudAddress, err := serve("127.0.0.1", w.cloud())
	if err != nil {
		return err
	}
	if err := w.chooseNetwork(count); err != nil {
		return err
	}
	for i := range count {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", w.network, 10+i)}
		if err := os.WriteFile(w.settingsPath(d), []byte(settings(d, storeAddress, cloudAddress)), 0o600); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := w.startDaemon(d); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// chooseNetwork chooses loopback addresses whose ports are free.
func (w *world) chooseNetwork(count int) error {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		free := true
		for i := range count {
			for _, port := range []int{18405, 18406, 18407, 17660, 9464} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, 10+i, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			w.network = network
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// settingsPath returns the path of a daemon's settings file.
func (w *world) settingsPath(d *daemon) string { return filepath.Join(w.folder, d.name+".conf") }

// startDaemon starts a daemon's process.
func (w *world) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command("target/amaranthplank", "-platform")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), word("settings") + "=" + w.settingsPath(d)}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	command, done := d.command, d.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	w.rec.note("%s starts", d.name)
	return nil
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() error {
	for _, d := range w.daemons {
		deadline := time.Now().Add(15 * time.Second)
		for !w.ready(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.note("all daemons are ready")
	return nil
}

// ready reports whether a daemon says that it is ready.
func (w *world) ready(d *daemon) bool {
	answer, err := w.clients.Get("http://" + d.ip + ":18406/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// stop ends all daemons and removes the temporary folder.
func (w *world) stop() {
	for _, d := range w.daemons {
		if d.command != nil && d.command.Process != nil {
			_ = d.command.Process.Kill()
			<-d.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
	_ = w.rec.file.Close()
}

// call is a client attempt.
type call struct {
	id, path, body, prompt string
	// after is the last event that the client has, and began the attempt that brought the first.
	after int
	began string
	// header has further fields.
	header http.Header
	// leaveAfter is the number of events after which the client's connection breaks, or zero.
	leaveAfter int
}

// answer is what a client got.
type answer struct {
	status int
	data   []string
	whole  bool
	err    error
	// retryAfter is the stated time after which the client may come back.
	retryAfter time.Duration
}

// send makes a client attempt at a daemon.
func (w *world) send(d *daemon, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), busyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front()+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "rig.example"
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("Authorization", "Token "+w.key)
	request.Header.Set(word("deadline"), "5000")
	request.Header.Set("X-Model", "m")
	request.Header.Set(word("tokens"), "60,800")
	request.Header.Set(word("prompt"), c.prompt)
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.after > 0 {
		request.Header.Set("Last-Event-Id", fmt.Sprint(c.after))
		request.Header.Set("Resumes", c.began)
	}
	w.rec.note("request %s is sent to %s: %s", c.id, d.name, c.body)
	response, err := w.clients.Do(request)
	if err != nil {
		w.rec.note("request %s: %v", c.id, err)
		return answer{err: err}
	}
	got := answer{status: response.StatusCode}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode == http.StatusOK {
		got.data, got.whole = readEvents(response.Body, c.leaveAfter)
	}
	_ = response.Body.Close()
	w.rec.note("request %s is answered: %d, events %v, whole %t", c.id, got.status, got.data, got.whole)
	return got
}

// settings returns a daemon's settings file.
func settings(d *daemon, store, cloud string) string {
	lines := []string{
		"node=" + d.name, "role=gateway", "machineClass=front", "serves=front", "ipAddress=" + d.ip, "zone=zone-a", "region=region", "zones.zone-a=region",
		"listen.front=" + d.ip + ":18405", "listen.ready=" + d.ip + ":18406", "listen.control=" + d.ip + ":18407", "internalPorts=17660,17675", "seeds=",
		"firstStart=true", "inFailureBudget=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=virtual_ip", "heartbeatIntervalMs=1200",
		"contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.gracePeriodS=8", "bounds.lossSlackMs=200", "bounds.configurationApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerBoundMs=5000",
		"bounds.failClosed=false", "bounds.revocationMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=56",
		"bounds.fencingRequired=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.usageWindowS=5", "bounds.usageTolerance=0.05",
		"bounds.usageLateS=10", "bounds.recoveryS=12", "bounds.transitMs=120", "bounds.reuseWindowS=9.8",
		"platform.address=" + store, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.minTtlMs=1000", "cloud.address=" + cloud, "cloud.ratePerS=50.0", "cloud.duties=usage,autoscaling", "cloud.dutyPerS=50.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// verdict prints a case's result and returns its exit code.
func (w *world) verdict(broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	word, code := "the rule held: ", 0
	if broken {
		word, code = "the rule was broken: ", 1
	}
	w.rec.note("%s%s", word, text)
	fmt.Println(word + text)
	return code
}
