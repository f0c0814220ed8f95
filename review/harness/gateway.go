package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the system on a machine of its own, which is an address of the
// loopback network.
type gateway struct {
	rec                *record
	name, address      string
	storeAddress       string
	folder, program    string
	front, ready, peer int

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// settingsOf returns the text of the settings file, with the bounds of himal-stockcount.
func (g *gateway) settingsOf(zone, storeAddress, cloudAddress string, first, fencing bool) string {
	return fmt.Sprintf(`node=%s
role=gateway
machineClass=front
serves=front
ipAddress=%[2]s
zone=%[3]s
region=r
zones.a=r
zones.b=r
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internalPorts=%[6]d,%[7]d
firstStart=%[10]v
inFailureBudget=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.fileDescriptors=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatIntervalMs=1200
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.acknowledgeMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configurationApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerBoundMs=5000
bounds.failClosed=false
bounds.revocationMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
bounds.fencingRequired=%[11]v
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.usageWindowS=5
bounds.usageTolerance=0.05
bounds.usageLateS=10
bounds.recoveryS=12
bounds.transitMs=120
bounds.reuseWindowS=9.8
platform.address=%[8]s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
cloud.address=%[9]s
cloud.ratePerS=50.0
cloud.duties=usage,autoscaling
cloud.dutyPerS=50.0
`, g.name, g.address, zone, g.front, g.ready, g.peer, g.peer+15, storeAddress, cloudAddress, first, fencing)
}

func (g *gateway) file(name string) string { return filepath.Join(g.folder, g.name+"."+name) }

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(g.file("log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(g.program, "-platform")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), word("settings") + "=" + g.file("settings")}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := process.Wait()
		g.rec.add("process of %s has ended: %v", g.name, err)
		close(ended)
	}()
	g.process, g.ended = process, ended
	g.rec.add("process of %s starts", g.name)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Process.Signal(s)
		g.rec.add("%s gets %v", g.name, s)
	}
}

// kill ends the process immediately and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.signal(syscall.SIGCONT)
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return false
	}
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

func (g *gateway) frontAddress() string { return fmt.Sprintf("%s:%d", g.address, g.front) }

// isReady asks the process whether it is ready, as the balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", g.address, g.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// adminPort is the port of the operator API of each process.
const adminPort = 9464

// freeNetwork returns two numbers of a loopback network in which the ports of the processes
// are free.
func freeNetwork(machines int) (second, third int, err error) {
	for try := range 200 {
		second, third = 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+7*try)%250
		free := true
		for n := range machines {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", second, third, 10+n, adminPort))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return second, third, nil
		}
	}
	return 0, 0, fmt.Errorf("no free loopback addresses")
}
