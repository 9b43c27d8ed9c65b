package placement

import (
	"math"
	"time"
)

const (
	// goldenRatioStep is the fractional part of the golden ratio; its multiples are spread evenly over [0, 1).
	goldenRatioStep = 0.6180339887
	// minAnswerAge is how old the latest answer of a backend server must be for failures reported by others to count.
	minAnswerAge = 250 * time.Millisecond
)

// SetInstances sets the number of instances, including this one, and for how many of them this one places requests.
func (b *Board) SetInstances(instances, served int) {
	b.instances, b.servedInstances = instances, max(1, served)
}

// SetUnseen sets the mean number of requests that the other instances send to a backend server before this instance
// learns of them.
func (b *Board) SetUnseen(requests float64) { b.unseenPerServer = requests }

// SetOtherLoads replaces the loads that the other instances have sent, by id of the backend server. Backend servers that
// are not listed have no load from them.
func (b *Board) SetOtherLoads(others map[string]Load) {
	clear(b.overcommitFactors)
	for id, st := range b.states {
		st.others, st.sentSinceReport, st.endedSinceReport = others[id.ID], 0, 0
		_, st.shareDither = math.Modf(st.shareDither + goldenRatioStep)
	}
}

// OwnLoads returns the loads that this instance has sent, by id of the backend server.
func (b *Board) OwnLoads() map[string]Load {
	own := map[string]Load{}
	for id, st := range b.states {
		if st.own != (Load{}) {
			own[id.ID] = own[id.ID].Plus(st.own)
		}
	}
	return own
}

// TakeInterTokenChanges returns the inter-token latencies that have changed since the last call, in milliseconds by id
// of the backend server.
func (b *Board) TakeInterTokenChanges() map[string]float64 {
	latencies := map[string]float64{}
	for id, st := range b.states {
		if st.interTokenChanged {
			latencies[id.ID] = st.interToken.value
			st.interTokenChanged = false
		}
	}
	return latencies
}

// SeedInterToken sets the inter-token latency, in milliseconds, of backend servers without own measurements to values
// measured by other instances.
func (b *Board) SeedInterToken(latencies map[string]float64) {
	for id, st := range b.states {
		if ms, ok := latencies[id.ID]; ok && st.interToken.count == 0 && ms > 0 {
			st.interToken.value, st.interToken.count = ms, 1
		}
	}
}

// UnreachableIDs returns the ids of backend servers that are avoided because requests of this instance failed: no
// connection, a reset or a lost answer.
func (b *Board) UnreachableIDs(now time.Time) []string {
	var ids []string
	for id, st := range b.states {
		if st.consecutiveFailures > 0 && now.Before(st.avoidUntil) {
			ids = append(ids, id.ID)
		}
	}
	return ids
}

// ApplyReportedUnreachable marks backend servers as avoided until a time if requests of other instances failed there;
// unreachable holds the number of these instances by id. One report is enough if this instance got no answer recently.
// An instance that gets answers itself ignores the reports, since the fault may lie with the others.
func (b *Board) ApplyReportedUnreachable(now time.Time, unreachable map[string]int, until time.Time) {
	for id, st := range b.states {
		if unreachable[id.ID] > 0 && now.Sub(st.lastAnswer) > minAnswerAge {
			st.reportedAvoidUntil = until
		}
	}
}
