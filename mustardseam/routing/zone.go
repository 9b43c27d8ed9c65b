package routing

// zone holds the servers of one version in one data centre.
type zone struct {
	dataCentre string
	fleet      *fleet
	roomy      []*Node // Those with room, in no order.
}

// fleet holds the servers of one version.
type fleet struct {
	zones []*zone
	nodes int
	roomy int
}

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

func (z *zone) add(n *Node) {
	n.place = len(z.roomy)
	z.roomy = append(z.roomy, n)
	z.fleet.roomy++
}

func (z *zone) remove(n *Node) {
	last := len(z.roomy) - 1
	z.roomy[n.place] = z.roomy[last]
	z.roomy[n.place].place = n.place
	z.roomy[last] = nil
	z.roomy = z.roomy[:last]
	n.place = -1
	z.fleet.roomy--
}
