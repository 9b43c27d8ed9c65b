package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of the instances; each has an address of its own, so that they need not differ.
const (
	frontPort   = 8221
	readyPort   = 8224
	controlPort = 8229
)

// instance is a process of the program under test.
type instance struct {
	name, zone, ip string
	cmd            *exec.Cmd
	done           chan struct{}
	log            *os.File
}

func (i *instance) front() string   { return fmt.Sprintf("%s:%d", i.ip, frontPort) }
func (i *instance) control() string { return fmt.Sprintf("%s:%d", i.ip, controlPort) }

// settings returns a settings file like that of a small deployment.
func (i *instance) settings(storeAddr string, seeds string) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
portRange = [7600,7615]
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","places","platform"]
[zones]
za = "r"
zb = "r"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
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
addr = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, i.name, i.ip, i.zone, seeds, i.ip, frontPort, i.ip, readyPort, i.ip, controlPort, storeAddr)
}

// startInstance starts an instance in a folder with the command of the deploy file and waits until it is ready.
func startInstance(dir, name, zone, ip, storeAddr, seeds string) *instance {
	i := &instance{name: name, zone: zone, ip: ip}
	path := filepath.Join(dir, name+".toml")
	check(os.WriteFile(path, []byte(i.settings(storeAddr, seeds)), 0o644))
	var err error
	i.log, err = os.Create(filepath.Join(dir, name+".log"))
	check(err)
	i.cmd = exec.Command("target/platform", "serve")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "MUSTARDSEAM_BOOT=" + path}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	check(i.cmd.Start())
	i.done = make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(i.done)
	}()
	return i
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + net.JoinHostPort(i.ip, fmt.Sprint(readyPort)) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); !i.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic("instance " + i.name + " does not become ready")
		}
	}
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// ended reports whether the process has ended.
func (i *instance) ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (i *instance) kill() {
	if !i.ended() {
		_ = i.cmd.Process.Kill()
		<-i.done
	}
	_ = i.log.Close()
}
