package rollout

// neighbourCount is the number of the control's responses before a response of the candidate, and of those after it, that
// show whether both versions are disturbed. More would delay the verdict, fewer would miss disturbances.
const neighbourCount = 8

// historySize is the number of responses whose flags are kept, so that the neighbours of a pending response are available.
const historySize = 64

// flags records the aspects in which a response was bad; also used as a set of aspects.
type flags [aspectCount]bool

// flagHistory holds the flags of the control's latest responses. A disturbance of both versions, such as a burst, shows in
// them within a few responses, long before it shows in a whole window.
type flagHistory struct {
	list  [historySize]flags // Ring buffer; the response with index n is at n%historySize.
	total int                // Number of responses added so far.
}

func (s *flagHistory) add(f flags) {
	s.list[s.total%len(s.list)] = f
	s.total++
}

// badCounts is the number of bad responses per aspect among n responses.
type badCounts struct {
	n   int
	bad [aspectCount]int
}

// since returns the counts of up to neighbourCount responses starting at the given index.
func (s *flagHistory) since(index int) badCounts {
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
