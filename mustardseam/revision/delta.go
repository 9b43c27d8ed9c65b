package revision

import (
	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/operator"
)

// Delta is the difference between two documents, by entries of each list. It makes a change cheap to distribute: one
// changed entry instead of the whole document.
type Delta struct {
	Base           uint64                           `json:"base"` // Revision to which the delta applies.
	BaseDigest     string                           `json:"base-digest"`
	Revision       uint64                           `json:"revision"` // Revision that results from the delta.
	Digest         string                           `json:"digest"`
	Tiers          *Changes[operator.Tier]          `json:"tiers,omitempty"`
	Teams          *Changes[operator.Team]          `json:"teams,omitempty"`
	DataCentres    *Changes[operator.DataCentre]    `json:"data-centres,omitempty"`
	Pools          *Changes[operator.Pool]          `json:"pools,omitempty"`
	BackendServers *Changes[operator.BackendServer] `json:"backend-servers,omitempty"`
	Routes         *Changes[operator.Route]         `json:"routes,omitempty"`
}

// NewDelta returns the difference from one configuration to a later one.
func NewDelta(from, to *Config) Delta {
	a, b := from.Document, to.Document
	return Delta{
		Base: from.Revision, BaseDigest: from.Digest, Revision: to.Revision, Digest: to.Digest,
		Tiers:          changes(a.Tiers, b.Tiers, tierName),
		Teams:          changes(a.Teams, b.Teams, teamName),
		DataCentres:    changes(a.DataCentres, b.DataCentres, dataCentreName),
		Pools:          changes(a.Pools, b.Pools, poolName),
		BackendServers: changes(a.BackendServers, b.BackendServers, serverName),
		Routes:         changes(a.Routes, b.Routes, routeName),
	}
}

// ApplyDelta returns the configuration that results from a delta, validated like a whole document. After an error, such
// as a delta for another base, the caller must fetch the whole document.
func ApplyDelta(from *Config, d Delta) (*Config, error) {
	if from.Revision != d.Base || from.Digest != d.BaseDigest || d.Revision <= d.Base {
		return nil, eris.Errorf("apply delta: it leads from revision %d to %d, not from %d", d.Base, d.Revision, from.Revision)
	}
	doc := from.Document
	doc.Tiers = apply(doc.Tiers, d.Tiers, tierName)
	doc.Teams = apply(doc.Teams, d.Teams, teamName)
	doc.DataCentres = apply(doc.DataCentres, d.DataCentres, dataCentreName)
	doc.Pools = apply(doc.Pools, d.Pools, poolName)
	doc.BackendServers = apply(doc.BackendServers, d.BackendServers, serverName)
	doc.Routes = apply(doc.Routes, d.Routes, routeName)
	packed, digest, err := EncodeDocument(doc)
	if err != nil {
		return nil, err
	}
	if digest != d.Digest {
		return nil, eris.Errorf("apply delta: the result has digest %s, not %s", digest, d.Digest)
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return NewConfig(d.Revision, digest, packed, doc), nil
}

func tierName(t operator.Tier) string             { return t.Name }
func teamName(t operator.Team) string             { return t.Name }
func dataCentreName(d operator.DataCentre) string { return d.Name }
func poolName(p operator.Pool) string             { return p.Name }
func serverName(b operator.BackendServer) string  { return b.Name }
func routeName(r operator.Route) string           { return r.Name }
