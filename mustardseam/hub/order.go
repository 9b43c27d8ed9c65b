package hub

import (
	"sort"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// hubKey is the key for which instances are weighed.
const hubKey = "hub"

// Order returns the instances in the order in which they are asked to be the hub: the ones with more processor first,
// and among equals by a hash of the name.
func Order(nodes map[string]fleet.Node) []fleet.Node {
	list := make([]fleet.Node, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Cores != list[j].Cores {
			return list[i].Cores > list[j].Cores
		}
		a, b := rendezvous.Weight(hubKey, list[i].Name), rendezvous.Weight(hubKey, list[j].Name)
		if a != b {
			return a > b
		}
		return list[i].Name < list[j].Name
	})
	return list
}
