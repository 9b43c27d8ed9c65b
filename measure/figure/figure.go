package figure

import (
	"fmt"
	"math"
)

// Sources of bounds.
const (
	Targets   = "design 4.1"
	Guarantee = "guarantee 1.2 no. %d"
)

// Relation says how a value must lie to its bound.
type Relation string

// The relations; a figure without one has no bound.
const (
	Free    Relation = ""
	AtMost  Relation = "<="
	AtLeast Relation = ">="
	Below   Relation = "<"
)

// Figure is one measured value with its bound.
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

// With returns a copy of the figure with a bound and its source.
func (f Figure) With(r Relation, bound float64, source string) Figure {
	f.Relation, f.Bound, f.Source = r, bound, source
	return f
}

// None returns a figure of a count that must be 0 by the targets.
func None(name string, count int) Figure {
	return New(name, float64(count), "").With(AtMost, 0, Targets)
}

// NoneBy returns a figure of a count that must be 0 by the guarantee of the number.
func NoneBy(name string, count, guarantee int) Figure {
	return New(name, float64(count), "").With(AtMost, 0, fmt.Sprintf(Guarantee, guarantee))
}

// Holds reports whether the value keeps to its bound; a value that is not a number keeps to none.
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

// Holds reports whether all figures keep to their bounds.
func Holds(list []Figure) bool {
	for _, f := range list {
		if !f.Holds() {
			return false
		}
	}
	return true
}

// Ratio returns part/whole, or not a number when the whole is 0.
func Ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}
