// Command rig plays the cases of the second review: it starts the daemons as
// processes of their own beside stand-ins of the platform, replicas and clients.
package main

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed settings.txt
var settingsText string

//go:embed names.json
var namesText []byte

var names = readNames()

func readNames() (read map[string]string) {
	if err := json.Unmarshal(namesText, &read); err != nil {
		panic(err)
	}
	return read
}

// name returns what the platform calls something on the wire.
func name(of string) string {
	if names[of] == "" {
		panic("no name for " + of)
	}
	return names[of]
}

// world is one small deployment on loopback.
type world struct {
	folder  string
	trouble bool
	start   time.Time
	store   *store
	cloud   *cloud
	storeAt string
	cloudAt string
	daemons []*daemon
	network string
	ports   [4]int

	mu      sync.Mutex
	record  *os.File
	version uint64
}

// cloud accepts every call of a duty.
type cloud struct {
	mu    sync.Mutex
	calls []cloudCall
}

type cloudCall struct {
	at                  time.Time
	path, holder, fence string
	body                string
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body json.RawMessage
	_ = json.NewDecoder(q.Body).Decode(&body)
	c.mu.Lock()
	c.calls = append(c.calls, cloudCall{time.Now(), q.URL.Path, q.Header.Get(name("holder")), q.Header.Get(name("fence")), string(body)})
	c.mu.Unlock()
	w.WriteHeader(200)
}

// serve serves a handler at a free port and returns the address.
func serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// newWorld starts the platform's stand-ins.
func newWorld(record string) (*world, error) {
	folder, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), store: newStore(), cloud: &cloud{}, record: file}
	if w.storeAt, err = serve("127.0.0.1", w.store); err != nil {
		return nil, err
	}
	if w.cloudAt, err = serve("127.0.0.1", w.cloud); err != nil {
		return nil, err
	}
	return w, w.chooseNetwork()
}

// chooseNetwork finds loopback addresses whose ports are free.
func (w *world) chooseNetwork() error {
	for try := 0; try < 50; try++ {
		w.network = fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+try)%180, 1+(os.Getpid()/180+7*try)%250)
		free := true
		for n := 1; n <= 9; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:9464", w.network, n))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if !free {
			continue
		}
		var open []net.Listener
		for i := range w.ports {
			l, err := net.Listen("tcp", w.network+".1:0")
			if err != nil {
				return err
			}
			open = append(open, l)
			w.ports[i] = l.Addr().(*net.TCPAddr).Port
		}
		for _, l := range open {
			_ = l.Close()
		}
		return nil
	}
	return fmt.Errorf("no loopback network with free ports")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is one process of the system on a machine of its own.
type daemon struct {
	world   *world
	name    string
	ip      string
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	first   bool
	extra   string
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, d.world.ports[0]) }
func (d *daemon) ready() string { return fmt.Sprintf("%s:%d", d.ip, d.world.ports[1]) }

// addDaemon prepares a machine.
func (w *world) addDaemon(extra string) *daemon {
	n := len(w.daemons) + 1
	d := &daemon{world: w, name: fmt.Sprintf("front-z%d-%d", n, n), ip: fmt.Sprintf("%s.%d", w.network, n), first: true, extra: extra}
	w.daemons = append(w.daemons, d)
	return d
}

// settings are those of a small deployment, with the bounds of himal-stockcount.
func (d *daemon) settings() string {
	w := d.world
	return fmt.Sprintf(settingsText, d.name, d.ip, d.front(), d.ready(), w.ports[2], w.ports[2]+3, d.first, w.storeAt, w.cloudAt, d.extra)
}

// run starts the process with the command of the deploy file.
func (d *daemon) run() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := filepath.Join(d.world.folder, d.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	d.first = false
	log, err := os.OpenFile(filepath.Join(d.world.folder, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(repository()+"/target/amaranthplank", "-platform")
	process.Dir = repository()
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("settings") + "=" + path}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	d.process, d.ended = process, ended
	d.world.note("%s starts", d.name)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		d.world.note("%s gets %v", d.name, s)
		_ = d.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// awaitReady waits until the process says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready() + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == 200 {
			d.world.note("%s is ready", d.name)
			return true
		}
	}
	return false
}

// repository is the folder of the repository.
func repository() string { return os.Getenv("RIG_REPOSITORY") }

// startAll starts all machines and waits until they are ready.
func (w *world) startAll() bool {
	for _, d := range w.daemons {
		if err := d.run(); err != nil {
			w.note("can't start: %v", err)
			return false
		}
	}
	for _, d := range w.daemons {
		if !d.awaitReady(20 * time.Second) {
			w.note("%s isn't ready", d.name)
			return false
		}
	}
	return true
}

// end ends all processes.
func (w *world) end() {
	for _, d := range w.daemons {
		if d.process != nil {
			d.signal(syscall.SIGCONT)
			d.kill()
		}
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
	_ = w.record.Close()
}

// answer is what a client got.
type answer struct {
	status int
	header map[string]string
	body   string
	whole  bool
	err    error
	took   time.Duration
}

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects to a machine's front.
func (d *daemon) dial() (*client, error) {
	conn, err := net.DialTimeout("tcp", d.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends one request, whose target is written as it is, and reads the answer.
func (c *client) do(method, target, host string, header []string, body string, limit time.Duration) answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(limit))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target, host, strings.Join(append(header, ""), "\r\n"))
	if body != "" || method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write([]byte(text + "\r\n" + body)); err != nil {
		return answer{err: err}
	}
	request, _ := http.NewRequest(method, "http://x/", nil)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, header: map[string]string{}}
	for name := range response.Header {
		a.header[name] = response.Header.Get(name)
	}
	var got strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		got.Write(buffer[:n])
		if err != nil {
			a.whole = err.Error() == "EOF"
			if !a.whole {
				a.err = err
			}
			break
		}
	}
	a.body, a.took = got.String(), time.Since(began)
	return a
}

func (c *client) close() { _ = c.conn.Close() }

// once sends one request on a connection of its own.
func (d *daemon) once(method, target, host string, header []string, body string, limit time.Duration) answer {
	c, err := d.dial()
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.do(method, target, host, header, body, limit)
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %v", a.status, a.err)
	}
	body := a.body
	if len(body) > 80 {
		body = body[:80] + "..."
	}
	return fmt.Sprintf("status %d %s", a.status, strconv.Quote(body))
}
