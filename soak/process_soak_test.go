package soak

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
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// graceSeconds is the grace period of an instance; a process that outlives it is killed.
const graceSeconds = 4

// process is an instance that runs as a process of its own.
type process struct {
	name     string
	program  string
	settings string
	front    string
	ready    string
	store    *proxy
	http     *http.Client
	held     []net.Listener // Of its addresses, until the first start.

	mu    sync.Mutex // Held while the process is started or ended.
	cmd   *exec.Cmd
	ended chan struct{}
	log   lockedBuffer
}

// lockedBuffer keeps what a process writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the lines that contain a text.
func (l *lockedBuffer) lines(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range bytes.Lines(l.b.Bytes()) {
		if bytes.Contains(line, []byte(text)) {
			out = append(out, string(bytes.TrimSpace(line)))
		}
	}
	return out
}

// build compiles the instance.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "instance")
	out, err := exec.Command("go", "build", "-o", program, "../platform").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// hold returns a listener whose loopback address is kept for a process until it is started. Of 12 addresses that were
// closed at once, two were the same in one of a hundred sites.
func hold(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// newProcess writes the settings of an instance; control lists the addresses of all instances for reports.
func newProcess(t *testing.T, program string, n int, control []net.Listener, store *proxy) *process {
	t.Helper()
	front, ready := hold(t), hold(t)
	p := &process{
		name: fmt.Sprintf("n%d", n), program: program, front: front.Addr().String(), ready: ready.Addr().String(),
		store: store, held: []net.Listener{front, ready, control[n]},
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	p.settings = filepath.Join(t.TempDir(), p.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
ip = "127.0.0.1"
zone = "z1"
seeds = [%q]
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 1
cores = 1
maxFds = 4096
[bounds]
graceS = %d
retryRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
quotaWindowS = 8
quotaExcess = 0.1
quotaSlack = 190000
exposeShare = 0.1
coldExcess = 1.5
coldSlack = 5
[platform]
addr = %q
`, p.name, control[0].Addr(), p.front, p.ready, control[n].Addr(), graceSeconds, store.addr())
	assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	return p
}

// start runs the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ln := range p.held {
		_ = ln.Close()
	}
	p.held = nil
	p.cmd = exec.Command(p.program, "serve", "--metrics-port", "0")
	p.cmd.Env = append(os.Environ(), "MUSTARDSEAM_BOOT="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// end stops the process with a signal, kills it when it outlives its grace period, and reports whether it had to.
func (p *process) end(sig syscall.Signal) (killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.ended:
	case <-time.After((graceSeconds + 1) * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
		return true
	}
	return false
}

// isReady asks the process whether callers should be sent to it.
func (p *process) isReady() bool {
	resp, err := p.http.Get("http://" + p.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
