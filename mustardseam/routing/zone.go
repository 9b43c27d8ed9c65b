package routing

// zone holds the servers of one version in one data centre.
type zone struct {
	dataCentre string
	fleet      *fleet
	available  []*Node // Servers with room, in no order.
}

// fleet holds the servers of one version.
type fleet struct {
	zones     []*zone
	nodes     int // Number of servers.
	available int // Number of servers with room.
}

// zone returns the zone of the data centre, creating it if needed.
func (f *fleet) zone(dataCentre string) *zone {
	for _, z := range f.zones {
		if z.dataCentre == dataCentre {
			return z
		}
	}
	z := &zone{dataCentre: dataCentre, fleet: f}
	f.zones = append(f.zones, z)
	return z
}

// add adds the server to the servers with room.
func (z *zone) add(n *Node) {
	n.availableIndex = len(z.available)
	z.available = append(z.available, n)
	z.fleet.available++
}

// remove removes the server from the servers with room.
func (z *zone) remove(n *Node) {
	last := len(z.available) - 1
	z.available[n.availableIndex] = z.available[last]
	z.available[n.availableIndex].availableIndex = n.availableIndex
	z.available[last] = nil
	z.available = z.available[:last]
	n.availableIndex = -1
	z.fleet.available--
}
