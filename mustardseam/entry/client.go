package entry

import (
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// client is an instance for which the hub places requests to engines. The mutex of the scheduler guards it.
type client struct {
	node     string
	run      int64
	sequence int64
	grants   map[int64]*Grant // Requests at backend servers, by the client's ids.
	waiting  map[int64]waitingAsk
	decided  []hub.Decision
	wake     chan struct{} // Holds a value when there is a decision that was not told.
}

// waitingAsk is a request that waits for a backend server.
type waitingAsk struct {
	service string
	entry   *place.Waiting
}

func newClient(n hub.News) *client {
	return &client{
		node: n.Node, run: n.Run, grants: map[int64]*Grant{}, waiting: map[int64]waitingAsk{}, wake: make(chan struct{}, 1),
	}
}

// decide keeps a decision for the client's next message.
func (c *client) decide(d hub.Decision) {
	c.decided = append(c.decided, d)
	c.tell()
}

// tell ends a wait for decisions.
func (c *client) tell() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// loads returns what the client has at backend servers.
func (c *client) loads() map[string]place.Load {
	sum := map[string]place.Load{}
	for _, g := range c.grants {
		l := place.Load{Requests: 1}
		if !g.began {
			l.Prompt = g.job.Prompt
		}
		sum[g.Server.ID] = sum[g.Server.ID].Plus(l)
	}
	return sum
}
