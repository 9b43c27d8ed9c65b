package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlaceOne measures the placement of one of many waiting jobs, which a hub does at the end of each request.
func BenchmarkPlaceOne(b *testing.B) {
	for _, waiting := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			var q Queue
			for i := range waiting {
				w := waitingJob(fmt.Sprintf("t%d", i%100), i%3, time.Duration(i)*time.Millisecond)
				q.Add(start, w)
			}
			for b.Loop() {
				tries := 0
				q.Place(start.Add(time.Second), func(string) int { return 1 }, func(*Waiting) (bool, bool) {
					tries++
					return false, tries < 2
				})
				q.RemoveExpired(start.Add(time.Second))
				q.PredictWait(start.Add(time.Second), &Job{Tier: 1, Objective: start.Add(time.Hour)})
			}
		})
	}
}
