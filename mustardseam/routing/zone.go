package routing

// versionZone holds the servers of one version in one data centre.
type versionZone struct {
	dataCentre string
	group      *versionGroup
	available  []*Node // Servers with room, in no order.
}

// versionGroup holds the servers of one version.
type versionGroup struct {
	zones     []*versionZone
	nodes     int // Number of servers.
	available int // Number of servers with room.
}

// zone returns the zone of the data centre, creating it if needed.
func (f *versionGroup) zone(dataCentre string) *versionZone {
	for _, z := range f.zones {
		if z.dataCentre == dataCentre {
			return z
		}
	}
	z := &versionZone{dataCentre: dataCentre, group: f}
	f.zones = append(f.zones, z)
	return z
}

// add adds the server to the servers with room.
func (z *versionZone) add(n *Node) {
	n.availableIndex = len(z.available)
	z.available = append(z.available, n)
	z.group.available++
}

// remove removes the server from the servers with room.
func (z *versionZone) remove(n *Node) {
	last := len(z.available) - 1
	z.available[n.availableIndex] = z.available[last]
	z.available[n.availableIndex].availableIndex = n.availableIndex
	z.available[last] = nil
	z.available = z.available[:last]
	n.availableIndex = -1
	z.group.available--
}
