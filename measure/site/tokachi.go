package site

import (
	"fmt"

	"github.com/mustardseam/mustardseam/operator"
)

// Tokachi returns the strapping co-operative's site, with 9 model replicas, 3 order-service replicas, 5 teams and two
// routes to the models.
func Tokachi() Site {
	centres := []string{"obihiro", "kushiro", "kitami"}
	s := newSite("doto", centres...)
	for i, g := range []int{0, 0, 0, 1, 1, 1, 2, 2, 2} {
		s = s.WithModel(fmt.Sprintf("m%d", i+1), centres[i%3], Old, g)
	}
	for i, dc := range centres {
		s = s.withService(fmt.Sprintf("o%d", i+1), dc)
	}
	s = s.withTeams([]string{"quotes", "counter", "packing", "purchase", "office"}, []float64{3, 3, 2, 1, 1})
	s.Document = s.Document.
		WithRoute(operator.Route{Name: "quote-model", Pool: Models, Version: Old}).
		WithRoute(operator.Route{Name: "advice-model", Pool: Models, Version: Old}).
		WithRoute(operator.Route{Name: "buy-strapping", Pool: Services, Version: Old, NonIdempotent: true})
	return s
}
