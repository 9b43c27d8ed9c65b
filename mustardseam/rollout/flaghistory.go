package rollout

// neighbourCount is the number of the control's responses before a response of the candidate, and of those after it, that
// show whether both versions are disturbed. More would delay the verdict, fewer would miss disturbances.
const neighbourCount = 8

// historySize is the number of responses whose aspect sets are kept, so that the neighbours of a pending response are
// available.
const historySize = 64

// aspectSet is a set of aspects, such as those in which a response was bad.
type aspectSet [aspectCount]bool

// flagHistory holds the sets of bad aspects of the control's latest responses. A disturbance of both versions, such as a
// burst, shows in them within a few responses, long before it shows in a whole window.
type flagHistory struct {
	list  [historySize]aspectSet // Ring buffer; the response with index n is at n%historySize.
	total int                    // Number of responses added so far.
}

func (s *flagHistory) add(f aspectSet) {
	s.list[s.total%len(s.list)] = f
	s.total++
}

// badCounts is the number of bad responses per aspect among n responses.
type badCounts struct {
	n   int
	bad [aspectCount]int
}

// countsFrom returns the counts of the responses with indexes from index to index+neighbourCount-1, as far as they are kept.
func (s *flagHistory) countsFrom(index int) badCounts {
	var c badCounts
	for i := max(index, s.total-len(s.list), 0); i < min(s.total, index+neighbourCount); i++ {
		c.n++
		for a, bad := range s.list[i%len(s.list)] {
			if bad {
				c.bad[a]++
			}
		}
	}
	return c
}

// rate returns an estimate of the probability that the next response is bad: the rate with one more bad response added to
// the counted ones, or 0 when none of them was bad.
func (c badCounts) rate(a aspect) float64 {
	if c.bad[a] == 0 {
		return 0
	}
	return float64(c.bad[a]+1) / float64(c.n+1)
}
