package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestSampleFindsFastAndFreeServers guards against a large service that appears full because its sample is full, and
// against bad choices because only a sample is examined.
func TestSampleFindsFastAndFreeServers(t *testing.T) {
	var servers []*fleet.Server
	full, interTokenMS := map[string]Load{}, map[string]float64{}
	b := NewBoard(BoardConfig{Self: "n"})
	for i := range 2400 {
		s := server(fmt.Sprintf("s%d", i))
		servers = append(servers, s)
		b.state(s)
		full[s.ID] = Load{Requests: 4}
		interTokenMS[s.ID] = 4 + float64(i*7%2400)/100 // From 4 to 28 ms.
	}
	b.SeedInterToken(interTokenMS)
	for range 100 {
		s := b.Choose(start, Candidates{Service: engineService, Servers: servers}, job(1000, 100), 0, false)
		assert.Assert(t, interTokenMS[s.ID] < 6, "inter-token latency %v ms", interTokenMS[s.ID])
	}
	delete(full, "s1234")
	b.SetOtherLoads(full)
	for range 100 {
		assert.Equal(t, b.Choose(start, Candidates{Service: engineService, Servers: servers}, job(1000, 100), 0, false).ID, "s1234")
	}
}

// benchmarkChoose measures a choice among a number of idle backend servers.
func benchmarkChoose(b *testing.B, count int) {
	servers := make([]*fleet.Server, count)
	board := NewBoard(BoardConfig{Self: "n"})
	for i := range servers {
		servers[i] = server(fmt.Sprintf("s%d", i))
	}
	j := job(3700, 120)
	for b.Loop() {
		board.Choose(start, Candidates{Service: engineService, Servers: servers}, j, 0, false)
	}
}

func BenchmarkChoose140(b *testing.B)  { benchmarkChoose(b, 140) }
func BenchmarkChoose2400(b *testing.B) { benchmarkChoose(b, 2400) }
