package hub

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

var start = time.Unix(1000, 0)

// TestAddIgnoresRepeatedReports guards against usage that is counted twice when a report is repeated or delayed, and
// against the load of instances that no longer report.
func TestAddIgnoresRepeatedReports(t *testing.T) {
	report := func(instance string, run, sequence int64, units float64, requests int) Report {
		return Report{
			Instance: instance, Run: run, Sequence: sequence, Used: map[string]ratelimit.Usage{"a": {Requested: units, Admitted: units}},
			Loads: map[string]placement.Load{"s": {Requests: requests}},
		}
	}
	tests := []struct {
		name      string
		report    Report
		at        time.Duration
		usage     float64
		load      int
		instances int
	}{
		{"first", report("n1", 1, 1, 10, 2), 0, 10, 2, 2},
		{"repeated", report("n1", 1, 1, 10, 2), 0, 10, 2, 2},
		{"next", report("n1", 1, 2, 5, 1), 0, 15, 1, 2},
		{"late", report("n1", 1, 1, 10, 9), 0, 15, 1, 2},
		{"another instance", report("n2", 1, 1, 1, 3), 0, 16, 4, 3},
		{"started again", report("n1", 2, 1, 4, 0), 0, 20, 3, 3},
		{"after a long silence of the others", report("n1", 2, 2, 0, 1), reportLifetime, 20, 1, 2},
	}
	aggregator := NewAggregator("n0")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(test.at)
			aggregator.Add(now, test.report)
			assert.Equal(t, aggregator.Usage()["a"].Admitted, test.usage)
			aggregator.sumTime = time.Time{}
			sum, err := aggregator.Sum(now, noOwnLoads)
			assert.NilError(t, err)
			assert.Equal(t, sum.Loads["s"].Requests, test.load)
			assert.Equal(t, len(aggregator.ActiveInstances(now)), test.instances)
		})
	}
	aggregator.Add(start, Report{Instance: "n2", Run: 1, Sequence: 2, Stopping: true})
	assert.Equal(t, len(aggregator.ActiveInstances(start)), 2)
}

// TestLoadOfStoppingInstanceCounts guards against engines that appear idle because an instance is stopping: its streams
// still run on them.
func TestLoadOfStoppingInstanceCounts(t *testing.T) {
	aggregator := NewAggregator("n0")
	aggregator.Add(start, Report{
		Instance: "n1", Run: 1, Sequence: 1, Stopping: true, Loads: map[string]placement.Load{"s": {Requests: 3}},
	})
	sum, err := aggregator.Sum(start, noOwnLoads)
	assert.NilError(t, err)
	assert.Equal(t, sum.Loads["s"].Requests, 3)
	assert.DeepEqual(t, aggregator.ActiveInstances(start), []string{"n0"})
	assert.DeepEqual(t, aggregator.StoppingInstances(start), []string{"n1"})
	assert.Equal(t, len(aggregator.StoppingInstances(start.Add(reportLifetime))), 0)
}

func noOwnLoads() (map[string]map[string]placement.Load, []string) { return nil, nil }

// TestCandidateRankIsTheSameEverywhere guards against instances that choose different hubs from the same list, and against a hub
// with a small processor share.
func TestCandidateRankIsTheSameEverywhere(t *testing.T) {
	instances := map[string]fleet.Instance{}
	for n := range 20 {
		name := fmt.Sprintf("n%d", n)
		instances[name] = fleet.Instance{Name: name, Cores: []float64{0.2, 0.8}[n%2]}
	}
	first := RankCandidates(instances)
	assert.Equal(t, first[0].Cores, 0.8)
	for range 10 {
		assert.DeepEqual(t, RankCandidates(instances), first)
	}
}

// TestIntervalBoundsReportRate guards against a hub that receives more reports than its processor can handle.
func TestIntervalBoundsReportRate(t *testing.T) {
	tests := []struct {
		instances int
		cores     float64
		want      time.Duration
	}{
		{8, 0.4, minInterval},
		{60, 0.8, 125 * time.Millisecond},
		{78, 0.192, 677083333 * time.Nanosecond},
		{350, 0.4, maxInterval},
		{8, 0, maxInterval},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d at %v", test.instances, test.cores), func(t *testing.T) {
			assert.Equal(t, ReportInterval(test.instances, test.cores), test.want)
		})
	}
}

// benchmarkReport measures the hub's work for one report, and the size of the report and of its response in bytes.
func benchmarkReport(b *testing.B, instances, servers, teams int) {
	aggregator := NewAggregator("n0")
	r := Report{Loads: map[string]placement.Load{}, InterTokenMS: map[string]float64{}, Used: map[string]ratelimit.Usage{}}
	for s := range servers {
		id := fmt.Sprintf("i-%010x", s)
		if s%instances < 3 {
			r.InterTokenMS[id] = 5.5
			r.Loads[id] = placement.Load{Requests: 2, PromptTokens: 3720}
		}
	}
	for n := range min(teams, 16) {
		r.Used[fmt.Sprintf("team%d", n)] = ratelimit.Usage{Requested: 3720, Admitted: 3720}
	}
	for n := range instances {
		r.Instance, r.Sequence = fmt.Sprintf("n%d", n), 1
		aggregator.Add(start, r)
	}
	in, err := json.Marshal(r)
	assert.NilError(b, err)
	out := 0
	for b.Loop() {
		var got Report
		assert.NilError(b, json.Unmarshal(in, &got))
		got.Sequence++
		aggregator.Add(start, got)
		sum, err := aggregator.Sum(start, noOwnLoads)
		assert.NilError(b, err)
		response, err := json.Marshal(ReportResponse{
			Instances: aggregator.ActiveInstances(start), Usage: aggregator.Usage(), Loads: sum.JSON,
		})
		assert.NilError(b, err)
		out = len(response)
	}
	b.ReportMetric(float64(len(in)), "report-bytes")
	b.ReportMetric(float64(out), "digest-bytes")
}

func BenchmarkReport8(b *testing.B)   { benchmarkReport(b, 8, 15, 5) }
func BenchmarkReport60(b *testing.B)  { benchmarkReport(b, 60, 143, 16) }
func BenchmarkReport350(b *testing.B) { benchmarkReport(b, 350, 2400, 510) }

// TestSumCountsPlacedLoadsOnce guards against load that is counted twice: from a report and from the placement updates on
// requests that the hub placed.
func TestSumCountsPlacedLoadsOnce(t *testing.T) {
	aggregator := NewAggregator("n0")
	start := time.Unix(1000, 0)
	for _, instance := range []string{"n1", "n2"} {
		aggregator.Add(start, Report{Instance: instance, Run: 1, Sequence: 1, Loads: map[string]placement.Load{"s": {Requests: 2}}})
	}
	sum, err := aggregator.Sum(start, func() (map[string]map[string]placement.Load, []string) {
		return map[string]map[string]placement.Load{"n0": {"s": {Requests: 1}}, "n1": {"s": {Requests: 5}}}, nil
	})
	assert.NilError(t, err)
	assert.Equal(t, sum.Loads["s"].Requests, 1+5+2)
	assert.Equal(t, sum.ByInstance["n1"]["s"].Requests, 5)
}

// TestSilentInstances guards against quotas that are used in full on both sides of a partition because the instances on the
// other side are forgotten, and against shares that are kept for instances that have stopped or are gone.
func TestSilentInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		silence  time.Duration
		stopping bool
		want     int
	}{
		{"reports", time.Second, false, 0},
		{"silent", 3 * time.Second, false, 1},
		{"stopped", 3 * time.Second, true, 0},
		{"gone", 16 * time.Second, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAggregator("hub")
			a.Add(now, Report{Instance: "n1", Run: 1, Sequence: 1, Stopping: test.stopping})
			assert.Equal(t, a.SilentInstances(now.Add(test.silence)), test.want)
		})
	}
}
