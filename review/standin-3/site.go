package main

import (
	"bytes"
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

// grace is the time that a process has to stop, bounds.graceS of the settings.
const grace = 8 * time.Second

// site is a small deployment: the store, and instances of the program under review.
type site struct {
	program string
	dir     string
	store   *store
	started time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	closed    bool
}

// instance is a process of the program under review.
type instance struct {
	site           *site
	name, ip, zone string
	front          string
	ready          string
	control        string
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

func newSite(program, recordPath string) (*site, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{program: program, dir: dir, store: st, started: time.Now(), record: record}, nil
}

// logf writes a line with the time since the start to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started and removes the temporary folder.
func (s *site) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	instances := s.instances
	s.mu.Unlock()
	for _, i := range instances {
		i.kill()
	}
	_ = s.store.ln.Close()
	_ = os.RemoveAll(s.dir)
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newInstance prepares an instance on a loopback address of its own, which is derived from the process id so that runs do not
// meet.
func (s *site) newInstance(n int) (*instance, error) {
	pid := os.Getpid()
	i := &instance{site: s, zone: "amman-a", name: fmt.Sprintf("front-amman-a-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 16+pid/250%200, pid%250, n)}
	for _, addr := range []*string{&i.front, &i.ready, &i.control} {
		port, err := freePort(i.ip)
		if err != nil {
			return nil, err
		}
		*addr = fmt.Sprintf("%s:%d", i.ip, port)
	}
	i.settings = filepath.Join(s.dir, fmt.Sprintf("%d.toml", n))
	return i, nil
}

// settingsText is a settings file as DEPLOY.md shows it, with loopback addresses.
const settingsText = `nodeName = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "amman"
portRange = [7600,7615]
seeds = [%q]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","places","platform"]
[zones]
amman-a = "amman"
amman-b = "amman"
amman-c = "amman"
[listen]
front = %q
ready = %q
control = %q
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
`

// start starts the process with the command of the deploy file, and waits until it is ready.
func (s *site) start(i *instance, seed string) error {
	text := fmt.Sprintf(settingsText, i.name, i.ip, i.zone, seed, i.front, i.ready, i.control, s.store.addr())
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	var output bytes.Buffer
	cmd := exec.Command(s.program, "serve")
	cmd.Env = []string{"MUSTARDSEAM_BOOT=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = &output, &output
	if path := os.Getenv("REVIEW_LOG"); path != "" { // For use by hand: the log of the program under review.
		if f, err := os.Create(path + "." + i.name); err == nil {
			cmd.Stdout, cmd.Stderr = f, f
		}
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(i.done)
	}()
	s.mu.Lock()
	s.instances = append(s.instances, i)
	s.mu.Unlock()
	s.logf("start %s, process %d, callers at %s", i.name, cmd.Process.Pid, i.front)
	for range 100 {
		if i.isReady() {
			s.logf("%s is ready", i.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 5 s", i.name)
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// kill ends the process.
func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	_ = i.cmd.Process.Kill()
	<-i.done
}
