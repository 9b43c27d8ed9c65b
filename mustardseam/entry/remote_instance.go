package entry

import (
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// remoteInstance is an instance for which the hub places requests to engines. The mutex of the Scheduler guards it.
type remoteInstance struct {
	instance      string
	run           int64                   // Random id of the client's run of its process.
	sequence      int64                   // Number of the client's latest update.
	grants        map[int64]*Grant        // Requests at backend servers, keyed by the client's ids.
	queued        map[int64]queuedRequest // Requests that wait for a backend server, keyed by the client's ids.
	decisions     []hub.Decision          // Decisions that have not been sent.
	decisionReady chan struct{}           // Holds a value when there is a decision that has not been sent.
}

// queuedRequest is a request of a client that waits for a backend server.
type queuedRequest struct {
	service string
	entry   *placement.Waiting
}

func newRemoteInstance(update hub.PlacementUpdate) *remoteInstance {
	return &remoteInstance{
		instance: update.Instance, run: update.Run, grants: map[int64]*Grant{}, queued: map[int64]queuedRequest{},
		decisionReady: make(chan struct{}, 1),
	}
}

// addDecision adds a decision to the client's next answer.
func (c *remoteInstance) addDecision(d hub.Decision) {
	c.decisions = append(c.decisions, d)
	c.signalDecision()
}

// signalDecision ends a long poll of the client.
func (c *remoteInstance) signalDecision() {
	select {
	case c.decisionReady <- struct{}{}:
	default:
	}
}

// loads returns the load from the client on each backend server, keyed by backend server id.
func (c *remoteInstance) loads() map[string]placement.Load {
	sum := map[string]placement.Load{}
	for _, g := range c.grants {
		l := placement.Load{Requests: 1}
		if !g.firstEventSeen {
			l.PromptTokens = g.job.UnreadTokens()
		}
		sum[g.Server.ID] = sum[g.Server.ID].Plus(l)
	}
	return sum
}
