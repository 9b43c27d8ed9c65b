package placement

import (
	"fmt"
	"testing"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// benchmarkChoosePrompt measures a choice for a prompt of four parts, of which all engines keep the first, half the second
// and one in 20 the third. Without parts it is the same choice as in benchmarkChoose, for engines that keep as much.
func benchmarkChoosePrompt(b *testing.B, count int, parts bool) {
	svc := &fleet.Service{Name: "pool", Engine: true, TokensPerEvent: 4, KVCapacity: 200_000}
	prompt := promptcache.Prompt{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 900}, {ID: 3, Tokens: 1000}, {ID: 4, Tokens: 1000}}
	board := NewBoard(BoardConfig{Self: "n"})
	servers := make([]*fleet.Server, count)
	for i := range servers {
		servers[i] = server(fmt.Sprintf("s%d", i))
		for n := range 100 { // Other prompts.
			board.RecordPromptRead(svc, servers[i], &Job{Prompt: promptcache.Prompt{{ID: uint64(1000 + 100*i + n), Tokens: 300}}})
		}
		read := 1
		if i%2 == 0 {
			read = 2
		}
		if i%20 == 0 {
			read = 3
		}
		board.RecordPromptRead(svc, servers[i], &Job{Prompt: prompt[:read]})
	}
	j := job(3700, 120)
	if parts {
		j.Prompt = prompt
	}
	for b.Loop() {
		board.Choose(start, Candidates{Service: svc, Servers: servers}, j, 0, false)
	}
}

func BenchmarkChoosePrompt140(b *testing.B)         { benchmarkChoosePrompt(b, 140, true) }
func BenchmarkChooseWithoutPrompt140(b *testing.B)  { benchmarkChoosePrompt(b, 140, false) }
func BenchmarkChoosePrompt2400(b *testing.B)        { benchmarkChoosePrompt(b, 2400, true) }
func BenchmarkChooseWithoutPrompt2400(b *testing.B) { benchmarkChoosePrompt(b, 2400, false) }
