package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardseam/mustardseam/operator"
)

// poolModel drives a pool and tracks the state needed to check its guarantees.
type poolModel struct {
	now          time.Time
	pool         *Pool
	cfg          Config
	asks         map[string]Ask // Asks without an answer yet.
	running      []Permit
	runningAt    map[string]int  // Number of running requests by server.
	cold         map[string]bool // Whether the server is in cold start.
	splitShare   float64         // Share of version v2; 0 without a split.
	grants       int             // Grants since the share was set.
	splitGrants  int             // Grants to v2 since the share was set.
	splitStarted bool            // Whether v2 has had a grant.
	splitBlocked bool            // Whether v2 is blocked.
	lastNumber   int             // Last number used for an ask ID or a report sequence.
}

// TestPoolInvariants checks the guarantees of the home instance for random sequences of events. Each ask has at most
// one answer. No higher tier is shed while a lower one waits. No server exceeds its limit in force, and none that is
// leaving or out of service gets a grant. A version gets at most its share of the grants, and none once it is blocked.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{now: atMillis(0), cfg: testConfig(4, 4, 1, 4), asks: map[string]Ask{}}
		m.runningAt, m.cold = map[string]int{}, map[string]bool{}
		for i, b := range m.cfg.Servers {
			m.cfg.Servers[i] = b.WithVersion([]string{"v1", "v1", "v2", "v2"}[i])
			m.cold[b.Name] = true
		}
		m.pool = New(m.cfg)
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask, "ask-again": m.ask, "done": m.done, "done-again": m.done, "report": m.report, "withdraw": m.withdraw,
			"service": m.changeService, "split": m.changeSplit, "block": m.blockVersion, "decide": m.decide,
		})
	})
}

func (m *poolModel) ask(t *rapid.T) {
	m.lastNumber++
	a := newAsk(fmt.Sprint(m.lastNumber), rapid.IntRange(0, 2).Draw(t, "tier"))
	a.Team = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	a.PromptTokens = rapid.IntRange(1, 9000).Draw(t, "prompt")
	a.Deadline = m.now.Add(time.Duration(rapid.IntRange(100, 20000).Draw(t, "deadline")) * time.Millisecond)
	m.asks[a.ID] = a
	m.pool.Ask(m.now, a)
	m.pool.Ask(m.now, a)
	m.decide(t)
}

func (m *poolModel) decide(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
	d := m.pool.Decide(m.now)
	for _, p := range d.Permits {
		m.granted(t, p)
	}
	lowest := -1
	refused := map[string]Ask{}
	for _, r := range d.Refusals {
		refused[r.AskID] = m.asks[r.AskID]
		assert.Assert(t, m.asks[r.AskID].ID != "", "%s has an answer already", r.AskID)
		delete(m.asks, r.AskID)
	}
	for _, a := range m.asks {
		lowest = max(lowest, a.Tier)
	}
	assert.Equal(t, m.pool.Digest().Lowest, lowest)
	for _, r := range d.Refusals {
		tier := refused[r.AskID].Tier
		assert.Assert(t, r.Reason != QueueFull || lowest <= tier, "tier %d shed while tier %d waits", tier, lowest)
	}
	assert.Equal(t, m.pool.queue.Len(), len(m.asks))
	assert.Assert(t, len(m.asks) <= m.cfg.Pool.MaxWaiting)
}

func (m *poolModel) granted(t *rapid.T, p Permit) {
	_, ok := m.asks[p.AskID]
	assert.Assert(t, ok, "%s has an answer already", p.AskID)
	delete(m.asks, p.AskID)
	m.running = append(m.running, p)
	m.runningAt[p.Server]++
	index := slices.IndexFunc(m.cfg.Servers, func(b operator.BackendServer) bool { return b.Name == p.Server })
	b := m.cfg.Servers[index]
	limit := b.Limit
	if m.cold[b.Name] {
		limit = b.ColdLimit
	}
	assert.Assert(t, m.runningAt[b.Name] <= limit, "%d requests at %s", m.runningAt[b.Name], b.Name)
	assert.Assert(t, !b.Leaving && !m.cfg.DataCentres[index%2].OutOfService)
	assert.Equal(t, p.Version, b.Version)
	m.grants++
	if p.Version == "v2" {
		m.splitGrants++
		assert.Assert(t, !m.splitBlocked && m.splitShare > 0)
		assert.Assert(t, !m.splitStarted || float64(m.splitGrants) <= m.splitShare*float64(m.grants),
			"%d of %d", m.splitGrants, m.grants)
		m.splitStarted = true
	}
}

func (m *poolModel) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	p := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.runningAt[p.Server]--
	o := Outcome{AskID: p.AskID, Result: OK, PromptTokens: 100, OutputTokens: 50, InterToken: 40 * time.Millisecond}
	if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
		o.Result, o.Cold = Failed, rapid.Bool().Draw(t, "cold")
		m.cold[p.Server] = m.cold[p.Server] || o.Cold
	}
	m.pool.Done(m.now, o)
	m.pool.Done(m.now, o)
	m.decide(t)
}

func (m *poolModel) report(t *rapid.T) {
	b := rapid.SampledFrom(m.cfg.Servers).Draw(t, "server")
	m.lastNumber++
	m.now = m.now.Add(time.Millisecond)
	m.cold[b.Name] = rapid.IntRange(0, 3).Draw(t, "cold") == 0
	m.pool.Report(m.now, Report{
		Server: b.Name, Sequence: uint64(m.lastNumber), Running: m.runningAt[b.Name],
		Cold: m.cold[b.Name], Version: b.Version,
	})
}

func (m *poolModel) withdraw(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.lastNumber+1).Draw(t, "id"))
	_, waits := m.asks[id]
	assert.Equal(t, m.pool.Withdraw(m.now, id), waits)
	delete(m.asks, id)
}

// changeService takes servers and data centres out of service and puts them back.
func (m *poolModel) changeService(t *rapid.T) {
	m.cfg.Servers, m.cfg.DataCentres = slices.Clone(m.cfg.Servers), slices.Clone(m.cfg.DataCentres)
	i := rapid.IntRange(0, 3).Draw(t, "server")
	m.cfg.Servers[i] = m.cfg.Servers[i].WithLeaving(rapid.IntRange(0, 3).Draw(t, "leaving") == 0)
	m.cfg.DataCentres[i%2] = m.cfg.DataCentres[i%2].WithOutOfService(rapid.IntRange(0, 3).Draw(t, "out") == 0)
	m.pool.Configure(m.now, m.cfg)
	m.decide(t)
}

func (m *poolModel) changeSplit(t *rapid.T) {
	share := rapid.SampledFrom([]float64{0.01, 0.05, 0.25, 0.5, 1}).Draw(t, "share")
	if share != m.splitShare {
		m.splitShare, m.grants, m.splitGrants = share, 0, 0
	}
	m.pool.SetSplit("m", "v2", share)
}

// blockVersion rolls back v2 permanently. It does so rarely, so that splits are tested too.
func (m *poolModel) blockVersion(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
		m.splitBlocked = true
		m.pool.BlockVersion("v2", "m")
		m.decide(t)
	}
}
