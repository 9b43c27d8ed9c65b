package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestHotPartSpreads guards against requests with one frequent part that go to the engine that keeps it until it is full
// although others are free: on the mean, a request must not meet more others at its engine than where prompts are ignored.
func TestHotPartSpreads(t *testing.T) {
	tests := []struct {
		name    string
		shared  int
		running int // Requests with the part that run at a time, on 40 engines of four slots.
	}{
		{"short part, light load", 800, 10},
		{"short part", 800, 30},
		{"short part, heavy load", 800, 80},
		{"all slots", 800, 160},
		{"long part", 2000, 30},
		{"long part, heavy load", 2000, 80},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ignored, ignoredAgain := playHotPart(BoardConfig{IgnorePrompts: true}, test.shared, test.running)
			weighed, weighedAgain := playHotPart(BoardConfig{}, test.shared, test.running)
			t.Logf("others met: %.2f, %.2f where prompts are ignored; part read %d times, %d", weighed, ignored, weighedAgain, ignoredAgain)
			assert.Assert(t, weighed <= ignored+0.05)
			assert.Assert(t, weighedAgain <= ignoredAgain)
		})
	}
}

// playHotPart keeps a number of requests with the same part running on 40 engines, whose streams slow each other down. It
// returns how many others a request met at its engine on the mean, and how often the part was read.
func playHotPart(cfg BoardConfig, shared, running int) (met float64, read int) {
	type sent struct {
		job    *Job
		server *fleet.Server
	}
	const output = 200
	random := rand.New(rand.NewPCG(1, 1))
	cfg.Self, cfg.Random = "n", random.Float64
	b := NewBoard(cfg)
	var servers []*fleet.Server
	for i := range 40 {
		servers = append(servers, server(fmt.Sprintf("s%d", i)))
	}
	var list []sent
	atServer, kept := map[string]int{}, map[string]bool{}
	now := start
	rounds := 20 * running
	for range rounds {
		if len(list) == running {
			first := list[0]
			list = list[1:]
			b.Finish(now, promptService, first.server, first.job, Outcome{
				Answered: true, OK: true, FirstEvent: true, Total: time.Second, Output: output,
				InterToken: 6*time.Millisecond + time.Duration(atServer[first.server.ID])*250*time.Microsecond,
			})
			atServer[first.server.ID]--
		}
		j := promptJob(shared, output)
		s := b.Choose(now, Candidates{Service: promptService, Servers: servers}, j, 0, false)
		ahead := b.Load(s)
		b.ExpectKept(promptService, s, j)
		b.Start(now, s, j)
		b.RecordFirstEvent(now, promptService, s, j, ahead, 20*time.Millisecond+time.Duration(j.UnreadTokens())*25*time.Microsecond)
		list = append(list, sent{j, s})
		if !kept[s.ID] {
			kept[s.ID] = true
			read++
		}
		met += float64(atServer[s.ID]) / float64(rounds)
		atServer[s.ID]++
		now = now.Add(time.Millisecond)
	}
	return met, read
}
