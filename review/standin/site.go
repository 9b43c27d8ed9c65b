package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the sheets of the small sites.
const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
	grace   = 8 * time.Second
)

// site is a small deployment on loopback addresses.
type site struct {
	rec        *recorder
	repository string
	folder     string // Temporary folder.
	store      *store
	base       string // First three parts of the addresses of the instances.
	firstZone  int    // Number of instances in the zone z1; 0 means all. The others are in z2.

	mu        sync.Mutex
	instances []*instance
	closed    bool
}

func newSite(rec *recorder, repository string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{
		rec: rec, repository: repository, folder: folder, store: st,
		base: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}, nil
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, i := range s.instances {
		i.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// instance is an instance that runs as a separate process.
type instance struct {
	name     string
	ip       string
	zone     string
	settings string
	site     *site

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (i *instance) front() string { return i.ip + ":8221" }

// startInstances starts n instances and waits until all are ready.
func (s *site) startInstances(n int) error {
	for k := range n {
		i := &instance{name: fmt.Sprintf("front-z1-%d", k+1), ip: fmt.Sprintf("%s.%d", s.base, k+1), site: s}
		i.zone = "ZONE"
		if s.firstZone > 0 && k >= s.firstZone {
			i.zone = "z2"
		}
		i.settings = filepath.Join(s.folder, i.name+".toml")
		if err := os.WriteFile(i.settings, []byte(s.settingsOf(i)), 0o600); err != nil {
			return err
		}
		s.mu.Lock()
		s.instances = append(s.instances, i)
		s.mu.Unlock()
		if err := i.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return errors.New(i.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// settingsOf returns the settings file of an instance, with the figures of the small sites.
func (s *site) settingsOf(i *instance) string {
	return strings.NewReplacer("NAME", i.name, "ZONE", i.zone, "IP", i.ip, "BASE", s.base, "STORE", s.store.addr()).Replace(`nodeName = "NAME"
role = "entry"
class = "front"
serves = ["front", "control"]
ip = "IP"
zone = "ZONE"
region = "r1"
portRange = [7600, 7615]
seeds = ["BASE.1:8229"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "places", "platform"]
[zones]
z1 = "r1"
z2 = "r1"
[listen]
front = "IP:8221"
ready = "IP:8224"
control = "IP:8229"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
revokeStrict = false
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
quotaWindowS = 8
quotaExcess = 0.1
quotaSlack = 190000
exposeShare = 0.1
exposeSlack = 50
rollbackMs = 5000
coldExcess = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 10
[platform]
addr = "STORE"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(i.site.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/platform", "serve")
	cmd.Dir = i.site.repository
	cmd.Path = filepath.Join(i.site.repository, "target", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MUSTARDSEAM_BOOT=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.cmd, i.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
		i.site.rec.logf("process  %s has ended: %v", i.name, cmd.ProcessState)
	}()
	return nil
}

// signal sends a signal to the process and returns the time.
func (i *instance) signal(sig syscall.Signal) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	at := time.Now()
	_ = i.cmd.Process.Signal(sig)
	i.site.rec.logf("signal   %s gets %v", i.name, sig)
	return at
}

// end kills the process if it runs.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	select {
	case <-i.ended:
	default:
		_ = i.cmd.Process.Kill()
		<-i.ended
	}
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks the instance whether it takes clients.
func (i *instance) isReady() bool {
	resp, err := readyClient.Get("http://" + i.ip + ":8224/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
