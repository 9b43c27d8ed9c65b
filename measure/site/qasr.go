package site

import (
	"fmt"

	"github.com/mustardseam/mustardseam/operator"
)

// Qasr returns the glove makers' site, with 12 model replicas of four generations, 3 order-service replicas and 5
// teams.
func Qasr() Site {
	centres := []string{"abdali", "marka", "sahab"}
	s := newSite("amman", centres...)
	for i, g := range []int{0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 3, 3} {
		s = s.WithModel(fmt.Sprintf("m%d", i+1), centres[i%3], Old, g)
	}
	for i, dc := range centres {
		s = s.withService(fmt.Sprintf("o%d", i+1), dc)
	}
	s = s.withTeams([]string{"fitting", "stitching", "reports", "web", "audit"}, []float64{4, 2, 2, 1, 1})
	s.Document = s.Document.
		WithRoute(operator.Route{Name: "fit-model", Pool: Models, Version: Old}).
		WithRoute(operator.Route{Name: "reserve-leather", Pool: Services, Version: Old, NonIdempotent: true})
	return s
}
