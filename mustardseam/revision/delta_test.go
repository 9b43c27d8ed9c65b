package revision

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardseam/mustardseam/operator"
)

func config(t testing.TB, revision uint64, d operator.Document) *Config {
	packed, digest, err := Encode(d)
	assert.NilError(t, err)
	return NewConfig(revision, digest, packed, d)
}

// fullSize returns a document of 510 teams and 2,400 backend servers.
func fullSize() operator.Document {
	d := document(2400, 0)
	for i := range 510 {
		d.Teams = append(d.Teams, operator.Team{
			Name: fmt.Sprintf("workshop-%03d", i), Weight: 1, Tiers: []string{"counter"},
			KeyHashes: []string{operator.KeyHash(fmt.Sprint("a", i)), operator.KeyHash(fmt.Sprint("b", i))},
		})
	}
	return d
}

// TestDeltaSize guards against a spread of configuration that costs more than the 4 KB a second of control overhead: at
// full size a one-entry change must be far below the whole document. 2,500 changes a day are one every 34.56 s.
func TestDeltaSize(t *testing.T) {
	d := fullSize()
	from := config(t, 1, d)
	to := config(t, 2, d.WithBackendServer(d.BackendServers[7].WithLeaving(true)))
	delta := Diff(from, to)
	b, err := json.Marshal(delta)
	assert.NilError(t, err)
	t.Logf("one entry: %d bytes; whole document: %d bytes packed", len(b), len(to.Packed))
	assert.Assert(t, float64(len(b))/34.56 < 100, "bytes a second and node, of which the design counts 100")
	assert.Assert(t, len(to.Packed) < maxPacked)
	next, err := Apply(from, delta)
	assert.NilError(t, err)
	assert.Equal(t, next.Digest, to.Digest)
	assert.Equal(t, from.Document.BackendServers[7].Leaving, false, "the old document is unchanged")
}

// TestDeltaLeadsToTheDocument guards against a delta that leads to another document than the submitted one: entries
// changed, added, removed, reordered, and lists that are empty or absent.
func TestDeltaLeadsToTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw(t, "from"), draw(t, "to")
		a := mustConfig(t, 1, from)
		b := mustConfig(t, 2, to)
		wire, err := json.Marshal(Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		var delta Delta
		if err := json.Unmarshal(wire, &delta); err != nil {
			t.Fatal(err)
		}
		next, err := Apply(a, delta)
		if err != nil {
			t.Fatal(err)
		}
		if next.Digest != b.Digest || next.Revision != 2 {
			t.Fatalf("revision %d with another digest", next.Revision)
		}
	})
}

// draw returns a valid document with some backend servers beyond the two that the route needs, in any order.
func draw(t *rapid.T, label string) operator.Document {
	d := document(8, 0)
	order := rapid.Permutation(d.BackendServers[2:]).Draw(t, label)
	extra := order[:rapid.IntRange(0, 6).Draw(t, label+" servers")]
	d.BackendServers = append(d.BackendServers[:2:2], extra...)
	for i := range d.BackendServers {
		d.BackendServers[i] = d.BackendServers[i].WithLimits(rapid.IntRange(4, 6).Draw(t, label+" limit"), 1)
	}
	switch rapid.IntRange(0, 2).Draw(t, label+" routes") {
	case 0:
		d.Routes = nil
	case 1:
		d.Routes = []operator.Route{}
	}
	return d
}

func mustConfig(t *rapid.T, revision uint64, d operator.Document) *Config {
	packed, digest, err := Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return NewConfig(revision, digest, packed, d)
}

// TestApplyRefuses guards against a delta that is applied to another base, goes back, or was damaged.
func TestApplyRefuses(t *testing.T) {
	from, to := config(t, 1, document(2, 0)), config(t, 2, document(2, 1))
	tests := []struct {
		name   string
		from   *Config
		damage func(*Delta)
	}{
		{"another revision", config(t, 2, document(2, 0)), func(*Delta) {}},
		{"another document", config(t, 1, document(2, 2)), func(*Delta) {}},
		{"backwards", from, func(d *Delta) { d.Revision = 1 }},
		{"damaged", from, func(d *Delta) { d.Teams.Set[0].Weight = 7 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delta := Diff(from, to)
			test.damage(&delta)
			_, err := Apply(test.from, delta)
			assert.Assert(t, err != nil)
		})
	}
}

// TestNewest guards against a restarted instance that starts with an older configuration than a peer or the store has.
func TestNewest(t *testing.T) {
	old, store, peer := Candidate{3, "c", "old"}, Candidate{4, "d", ""}, Candidate{4, "d", "peer"}
	tests := []struct {
		name string
		list []Candidate
		want []Candidate
	}{
		{"none", nil, nil},
		{"nobody has one", []Candidate{{0, "", "new"}}, nil},
		{"store behind", []Candidate{{3, "c", ""}, old, peer}, []Candidate{peer}},
		{"store ahead", []Candidate{store, old}, []Candidate{store}},
		{"both", []Candidate{old, store, peer}, []Candidate{store, peer}},
		{"another digest", []Candidate{store, {4, "x", "peer"}}, []Candidate{store}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.DeepEqual(t, Newest(test.list), test.want) })
	}
}
