package scenario

import (
	"fmt"
	"time"
)

// series returns for each tier the calls and the answers in time, by second of arrival.
func (r *run) series() []Series {
	var list []Series
	seconds := int(r.end/time.Second) + 1
	for t := range timeouts {
		calls, inTime := make([]float64, seconds), make([]float64, seconds)
		for _, rec := range r.sim.Records {
			if rec.Tier == t && !r.isService(rec) && !rec.Retried {
				at := int(rec.At / time.Second)
				calls[at]++
				if rec.InTime() {
					inTime[at]++
				}
			}
		}
		list = append(list,
			Series{fmt.Sprintf("calls of tier %d", t), calls},
			Series{fmt.Sprintf("answers in time of tier %d", t), inTime})
	}
	return list
}
