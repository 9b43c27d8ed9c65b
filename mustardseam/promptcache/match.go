package promptcache

// Match tells for a prompt how many of its tokens each engine keeps. It is valid until the next change of the index or the
// next call of Match.
type Match struct {
	index    *Index
	prompt   Prompt
	sequence uint32 // Value of matchState.sequence for this prompt.
	searched bool   // The engines are looked up one by one.
}

// matchState is the result for one engine.
type matchState struct {
	sequence uint32
	parts    int32 // Leading parts that the engine keeps.
	tokens   int32
}

// Match looks up a prompt. If visitHolders is set, all engines that keep its first part are visited now, which is the
// fastest way if most of them are candidates. Otherwise each engine is looked up when it is asked for. It returns nil for a prompt
// of which no engine keeps the first part.
func (x *Index) Match(p Prompt, visitHolders bool) *Match {
	if len(p) == 0 || x.firstHolder[p[0].ID] == 0 {
		return nil
	}
	x.match = Match{index: x, prompt: p, sequence: x.match.sequence + 1, searched: !visitHolders}
	if x.match.sequence == 0 {
		clear(x.matches)
		x.match.sequence = 1
	}
	if !visitHolders {
		return &x.match
	}
	sequence := x.match.sequence
	for i, part := range p {
		matched := false
		for h := x.firstHolder[part.ID]; h != 0; {
			n := &x.entries[h]
			h = n.after
			m := &x.matches[n.engine]
			if i == 0 {
				*m = matchState{sequence: sequence}
			} else if m.sequence != sequence || m.parts != int32(i) {
				continue
			}
			m.tokens += min(n.tokens, int32(part.Tokens))
			if int(n.tokens) >= part.Tokens {
				m.parts++
				matched = true
			}
		}
		if !matched {
			break
		}
	}
	return &x.match
}

// Kept returns how many leading tokens of the prompt an engine keeps; the engine may be nil.
func (m *Match) Kept(e *Engine) int {
	if m == nil || e == nil {
		return 0
	}
	if m.searched {
		return m.index.KeptOf(e, m.prompt)
	}
	if s := &m.index.matches[e.number]; s.sequence == m.sequence {
		return int(s.tokens)
	}
	return 0
}

// KeptOf returns how many leading tokens of a prompt an engine keeps.
func (x *Index) KeptOf(e *Engine, p Prompt) int {
	tokens := 0
	for _, part := range p {
		i := x.byHolding[holding{part.ID, e.number}]
		if i == 0 {
			break
		}
		kept := int(x.entries[i].tokens)
		tokens += min(kept, part.Tokens)
		if kept < part.Tokens {
			break
		}
	}
	return tokens
}

// Holders calls f for the engines that keep the last part of a prompt that any engine keeps, the latest one first, until f
// returns false.
func (x *Index) Holders(p Prompt, f func(e *Engine) bool) {
	for i := len(p) - 1; i >= 0; i-- {
		first := x.firstHolder[p[i].ID]
		for h := first; h != 0; h = x.entries[h].after {
			if !f(x.engines[x.entries[h].engine]) {
				return
			}
		}
		if first != 0 {
			return
		}
	}
}
