package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

// graceSeconds is the grace period of an instance. A process that is still running one second after it is killed.
const graceSeconds = 4

// process is an instance that runs as a separate process.
type process struct {
	name      string
	program   string
	settings  string
	frontAddr string
	readyAddr string
	store     *proxy
	http      *http.Client

	restarting sync.Mutex // Held from the stop of the process to its next start.
	mu         sync.Mutex // Held while the process is started or signalled.
	cmd        *exec.Cmd
	ended      chan struct{}
	log        lockedBuffer
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the lines that contain text.
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

// build compiles the instance program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "instance")
	out, err := exec.Command("go", "build", "-o", program, "../platform").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// reserveAddress returns a loopback address that belongs to a process for the whole test, also between its stops and starts.
func reserveAddress(t *testing.T) string {
	t.Helper()
	r, err := platformtest.NewReservation()
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r.Addr()
}

// newProcess writes the settings of an instance. control holds the control addresses of all instances.
func newProcess(t *testing.T, program string, n int, control []string, store *proxy) *process {
	t.Helper()
	p := &process{
		name: fmt.Sprintf("n%d", n), program: program, frontAddr: reserveAddress(t), readyAddr: reserveAddress(t), store: store,
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
`, p.name, control[0], p.frontAddr, p.readyAddr, control[n], graceSeconds, store.addr())
	assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	return p
}

// start runs the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
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

// stop stops the process with a signal, kills it if it outlives its grace period, and reports whether it was killed.
func (p *process) stop(sig syscall.Signal) (killed bool) {
	p.mu.Lock()
	process, ended := p.cmd.Process, p.ended
	p.mu.Unlock()
	_ = process.Signal(sig)
	select {
	case <-ended:
	case <-time.After((graceSeconds + 1) * time.Second):
		_ = process.Kill()
		<-ended
		return true
	}
	return false
}

// isReady asks the process whether callers should be sent to it.
func (p *process) isReady() bool {
	resp, err := p.http.Get("http://" + p.readyAddr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
