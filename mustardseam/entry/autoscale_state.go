package entry

import "github.com/mustardseam/mustardseam/mustardseam/autoscale"

// ScaleState shows operators the decision on the number of backend servers of a service.
type ScaleState struct {
	Held    bool           `json:"held"`   // This instance holds the duty and sends the orders.
	Reason  string         `json:"reason"` // Reason of the latest decision.
	Desired map[string]int `json:"desired,omitempty"`
	InForce int            `json:"in-force"`
	Needed  int            `json:"needed"`
	Load    float64        `json:"load"`                   // Units of work per second.
	Full    float64        `json:"capacity"`               // Units of work per second of the number in force.
	Period  int            `json:"period-s,omitempty"`     // Period of the load.
	Last    *ScaleOrder    `json:"latest-order,omitempty"` // Latest order that this instance sent.
	Orders  int            `json:"orders-in-progress"`     // Orders without an answer.
}

// ScaleOrder is an order of backend servers as shown to operators.
type ScaleOrder struct {
	DataCentre string `json:"data-centre"`
	Desired    int    `json:"desired"`
	Cause      string `json:"cause"`
	Reason     string `json:"reason"`
	AtMS       int64  `json:"at-ms"` // When it was sent, in Unix milliseconds.
	Accepted   bool   `json:"accepted"`
	Error      string `json:"error,omitempty"`
}

// setOutcome sets the outcome of an order unless a later one has been sent.
func (o *ScaleOrder) setOutcome(order autoscale.Order, err error) {
	if o == nil || o.DataCentre != order.DataCentre || o.Desired != order.Desired {
		return
	}
	o.Accepted = err == nil
	if err != nil {
		o.Error = err.Error()
	}
}

// state returns the decisions by service; nil if the duty is not to be performed.
func (a *autoscaler) state() map[string]ScaleState {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	states := map[string]ScaleState{}
	for name, s := range a.services {
		d := s.decision
		state := ScaleState{
			Held: s.token != 0, Reason: string(d.Reason), Desired: d.Desired, InForce: d.InForce, Needed: d.Needed, Load: d.Load,
			Full: d.Full, Period: d.Period, Orders: len(s.calls),
		}
		if s.last != nil {
			last := *s.last
			state.Last = &last
		}
		states[name] = state
	}
	return states
}
