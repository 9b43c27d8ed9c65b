package rollout

// neighbours is the number of the control's answers before, and of those after, an answer of the candidate that show
// whether both versions are disturbed. More would take longer to judge, fewer would miss disturbances.
const neighbours = 8

// kept is the number of answers whose flags are kept, so that the neighbours of one that waited are still known.
const kept = 64

// flags says in which aspects an answer was bad.
type flags [aspects]bool

// sequence holds the flags of the control's latest answers, so that a disturbance of both versions, such as a burst, shows
// within a few answers, long before it shows in a whole window.
type sequence struct {
	list  [kept]flags
	total int
}

func (s *sequence) add(f flags) {
	s.list[s.total%len(s.list)] = f
	s.total++
}

// counts is the number of bad answers per aspect among n answers.
type counts struct {
	n   int
	bad [aspects]int
}

// since returns the counts of up to neighbours answers from the one of the given index on.
func (s *sequence) since(index int) counts {
	var c counts
	for i := max(index, s.total-len(s.list), 0); i < min(s.total, index+neighbours); i++ {
		c.n++
		for a, bad := range s.list[i%len(s.list)] {
			if bad {
				c.bad[a]++
			}
		}
	}
	return c
}

// rate returns an estimate of the probability that the next answer is bad, as if it belonged to the counted ones and
// were bad; 0 when none of them was.
func (c counts) rate(a aspect) float64 {
	if c.bad[a] == 0 {
		return 0
	}
	return float64(c.bad[a]+1) / float64(c.n+1)
}
