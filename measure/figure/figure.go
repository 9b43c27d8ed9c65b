package figure

import (
	"fmt"
	"math"
)

// Sources of bounds; Guarantee is a format that takes the number of the guarantee.
const (
	Targets   = "design 4.1"
	Guarantee = "guarantee 1.2 no. %d"
)

// Relation is the comparison that must hold between a value and its bound.
type Relation string

// Relations between a value and its bound; Unbounded means that there is no bound.
const (
	Unbounded Relation = ""
	AtMost    Relation = "<="
	AtLeast   Relation = ">="
	Below     Relation = "<"
)

// Figure is a named measured value with an optional bound.
type Figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit,omitempty"`
	Relation Relation `json:"relation,omitempty"`
	Bound    float64  `json:"bound,omitempty"`
	Source   string   `json:"source,omitempty"`
}

// New returns a figure without a bound.
func New(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit}
}

// WithBound returns a copy of the figure with the given bound and its source.
func (f Figure) WithBound(r Relation, bound float64, source string) Figure {
	f.Relation, f.Bound, f.Source = r, bound, source
	return f
}

// ZeroCount returns a figure for a count that the targets require to be 0.
func ZeroCount(name string, count int) Figure {
	return New(name, float64(count), "").WithBound(AtMost, 0, Targets)
}

// ZeroCountByGuarantee returns a figure for a count that the numbered guarantee requires to be 0.
func ZeroCountByGuarantee(name string, count, guarantee int) Figure {
	return New(name, float64(count), "").WithBound(AtMost, 0, fmt.Sprintf(Guarantee, guarantee))
}

// Holds reports whether the value satisfies its bound. NaN satisfies no bound.
func (f Figure) Holds() bool {
	switch f.Relation {
	case AtMost:
		return f.Value <= f.Bound
	case AtLeast:
		return f.Value >= f.Bound
	case Below:
		return f.Value < f.Bound
	default:
		return true
	}
}

// Holds reports whether all figures satisfy their bounds.
func Holds(list []Figure) bool {
	for _, f := range list {
		if !f.Holds() {
			return false
		}
	}
	return true
}

// Ratio returns part/whole, or NaN if whole is 0.
func Ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}
