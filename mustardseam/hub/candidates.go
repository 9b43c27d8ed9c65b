package hub

import (
	"sort"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// rendezvousKey is the rendezvous hashing key that ranks instances with equal processor shares.
const rendezvousKey = "hub"

// RankCandidates returns the instances in the order in which they are candidates for the hub: by processor share, largest
// first, then by rendezvous weight and name.
func RankCandidates(instances map[string]fleet.Instance) []fleet.Instance {
	list := make([]fleet.Instance, 0, len(instances))
	for _, instance := range instances {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Cores != list[j].Cores {
			return list[i].Cores > list[j].Cores
		}
		a, b := rendezvous.Weight(rendezvousKey, list[i].Name), rendezvous.Weight(rendezvousKey, list[j].Name)
		if a != b {
			return a > b
		}
		return list[i].Name < list[j].Name
	})
	return list
}
