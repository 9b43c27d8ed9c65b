package rollout

import "time"

// pendingSample is a response of the candidate that waits to be assessed.
type pendingSample struct {
	Sample
	at           time.Time        // Time of arrival.
	controlTotal int              // Number of the control's responses at arrival.
	bucketTotals [LoadBuckets]int // Number of the control's responses at arrival by load bucket.
}

// referenceWindow is the control's window with which the latencies of a response of the candidate are compared.
type referenceWindow struct {
	*controlWindow
	allowance      float64   // Factor by which a good version may be slower.
	totalAtArrival int       // Number of responses in the window when the candidate's response arrived.
	after          badCounts // Counts of the window's first responses after the candidate's.
}

// reference returns the window of the response's load bucket or of the nearest bucket in which the control had a response
// while the candidate's was pending: an older window may be from before a disturbance of both versions. ok is false when
// there is none. Higher buckets are tried before lower ones.
//
// A window under a higher load is more lenient than necessary. One under a lower load needs an allowance for each bucket
// of difference, because a slow version keeps its servers busier than the control's and must be detected all the same.
func (an *Analyzer) reference(w pendingSample) (r referenceWindow, ok bool) {
	for _, minFollowing := range []int{minNeighbours, 1} {
		for i := w.LoadBucket; i < LoadBuckets; i++ {
			if r, ok = an.windowFollowing(w, i, 1, minFollowing); ok {
				return r, true
			}
		}
		for i := w.LoadBucket - 1; i >= 0; i-- {
			if r, ok = an.windowFollowing(w, i, 1+loadAllowance*float64(w.LoadBucket-i), minFollowing); ok {
				return r, true
			}
		}
	}
	return referenceWindow{}, false
}

// windowFollowing returns the window of a bucket, and whether it is large enough and has at least minFollowing responses
// after the candidate's.
func (an *Analyzer) windowFollowing(w pendingSample, bucket int, allowance float64, minFollowing int) (referenceWindow, bool) {
	window := &an.controlWindowsByLoad[bucket]
	r := referenceWindow{
		controlWindow: window, allowance: allowance, totalAtArrival: w.bucketTotals[bucket],
		after: window.countsFrom(w.bucketTotals[bucket]),
	}
	return r, window.size() >= minWindow && r.after.n >= minFollowing
}
