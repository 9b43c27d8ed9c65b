package scenario

import (
	"fmt"
	"time"
)

// series returns, per second of arrival and tier, the answers in time and the calls.
func (r *run) series() []Series {
	var list []Series
	seconds := int(r.end/time.Second) + 1
	for t := range timeouts {
		calls, in := make([]float64, seconds), make([]float64, seconds)
		for _, rec := range r.w.Records {
			if rec.Tier == t && !r.isService(rec) && !rec.Retried {
				at := int(rec.At / time.Second)
				calls[at]++
				if rec.InTime() {
					in[at]++
				}
			}
		}
		list = append(list,
			Series{fmt.Sprintf("calls of tier %d", t), calls},
			Series{fmt.Sprintf("answers in time of tier %d", t), in})
	}
	return list
}
