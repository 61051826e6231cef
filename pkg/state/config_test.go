package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	configSeeds = 100
	// configNames is the number of names of each kind. It is small so that random
	// changes conflict and references resolve.
	configNames = 4
)

type randomChange struct{ kind, name, spec, action int }

func randomChanges() *rapid.Generator[[]randomChange] {
	one := rapid.Custom(func(t *rapid.T) randomChange {
		draw := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
		return randomChange{draw("kind", len(api.Kinds)-1), draw("name", configNames-1), draw("spec", 5), draw("what", 99)}
	})
	return rapid.SliceOfN(one, 150, 150)
}

// randomSpec returns a spec of a kind. Some are invalid on their own, some refer to
// objects that may not exist.
func randomSpec(kind api.Kind, n int) string {
	token := strings.Repeat(fmt.Sprint(n), 64)
	return map[api.Kind][]string{
		api.KindGroup: {
			`{"selector":"a=b","vms":1}`, `{"selector":"a in (b,c)","vms":4}`, `{"vms":0}`, `{"selector":"((","vms":1}`,
			`{"vms":2,"count":-1}`, `{"vms":2,"labels":{"x":"y"}}`,
		},
		api.KindRoute: {`{}`, `{"groups":"x=y"}`, `{"requests":"=","groups":""}`, `{"deadline_ms":-4}`, `[]`, `{"path":"/v1/"}`},
		api.KindAccount: {
			`{"token_sha256":["` + token + `"]}`, `{"token_sha256":["` + token + `","` + token + `"]}`, `{"weight":-1}`, `{}`,
			`{"token_sha256":["x"]}`, `{"token_sha256":["` + strings.Repeat("a", 64) + `"]}`,
		},
		api.KindLimit: {
			`{"account":"n0","concurrency":3}`, `{"account":"n1","requests_per_second":2}`, `{"account":"n2","burst":-1}`,
			`{"account":"n3"}`, `{"account":"nobody"}`, `{"account":"n0","requests_per_second":0.5}`,
		},
		api.KindLabels: {`{"labels":{}}`, `{"labels":{"a":"b"}}`, `{"labels":3}`, `{"leaving":true}`, ``, `{"labels":{"c":"d"}}`},
	}[kind][n]
}

// TestCommittedStateAlwaysCompiles guards against accepted changes that a watcher
// cannot compile, and against incremental updates that differ from a full compile.
// It sends random changes, many of them invalid, to a machine that restarts, and
// updates a watcher after some of them.
func TestCommittedStateAlwaysCompiles(t *testing.T) {
	for seed := range configSeeds {
		m := New()
		updated := EmptyConfig()
		for i, choice := range randomChanges().Example(seed) {
			kind, name := api.Kinds[choice.kind], fmt.Sprint("n", choice.name)
			object, _ := m.Config().Object(kind, name)
			m.Apply(0, command(&peerpb.ConfigChange{
				ChangeId: fmt.Sprint(i), Kind: string(kind), Name: name, ExpectedRevision: object.Revision,
				Spec: []byte(randomSpec(kind, choice.spec)), Delete: choice.action < 25,
			}, 0))
			if choice.action >= 95 {
				m = restarted(t, m)
			}
			if choice.action%3 != 0 {
				continue
			}
			updated = updateAndCheck(t, updated, m, seed)
		}
		require.Equal(t, normalize(updateAndCheck(t, EmptyConfig(), m, seed)), normalize(updateAndCheck(t, updated, m, seed)), "seed %d", seed)
	}
}

// updateAndCheck updates a configuration as a watcher does and compares the result with a
// full compile.
func updateAndCheck(t *testing.T, from *Config, m *Machine, seed int) *Config {
	event := m.Since(from.Revision)
	if event.GetRevision() == from.Revision {
		return from
	}
	if event.GetFull() {
		from = EmptyConfig()
	}
	next, err := from.With(event)
	require.NoError(t, err, "seed %d", seed)
	full, err := Compile(m.Revision(), m.Objects())
	require.NoError(t, err, "seed %d", seed)
	require.Equal(t, normalize(full), normalize(next), "seed %d", seed)
	return next
}

// normalize sets empty slices to nil, for comparison.
func normalize(c *Config) *Config {
	n := *c
	if len(n.Groups) == 0 {
		n.Groups = nil
	}
	if len(n.Routes) == 0 {
		n.Routes = nil
	}
	if len(n.Objects) == 0 {
		n.Objects = nil
	}
	return &n
}
