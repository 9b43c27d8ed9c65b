package hub

// Demand is the demand for a service. The counts grow during a run of an instance.
type Demand struct {
	Arrived int64   `json:"arrived"` // Attempts to place requests.
	Refused int64   `json:"refused,omitempty"`
	Work    float64 `json:"work"`              // Expected units of work of the attempts.
	Waiting int     `json:"waiting,omitempty"` // Requests that wait for a backend server now.
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		Arrived: d.Arrived + o.Arrived, Refused: d.Refused + o.Refused, Work: d.Work + o.Work, Waiting: d.Waiting + o.Waiting,
	}
}

// since returns the demand with the counts reduced by those of an earlier time.
func (d Demand) since(o Demand) Demand {
	return Demand{Arrived: d.Arrived - o.Arrived, Refused: d.Refused - o.Refused, Work: d.Work - o.Work, Waiting: d.Waiting}
}
