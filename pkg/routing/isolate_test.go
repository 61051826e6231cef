package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
)

func TestSuspectsLeaveOneGroupToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		whole, broken, ended, crashed, exclude []string
		group                                  string
		ok                                     bool
	}{
		"the first by name":                     {whole: []string{"c", "a", "b"}, group: "a", ok: true},
		"not one that ended":                    {whole: []string{"a", "b", "c"}, ended: []string{"a"}, group: "b", ok: true},
		"not one that failed the request":       {whole: []string{"a", "b", "c"}, exclude: []string{"a"}, group: "b", ok: true},
		"the last whole one is kept":            {whole: []string{"a"}, broken: []string{"b"}},
		"the last one that did not end is kept": {whole: []string{"a", "b"}, ended: []string{"b"}},
		"kept though the others left the view":  {whole: []string{"a"}, crashed: []string{"b"}},
		"a single one":                          {whole: []string{"a"}, crashed: []string{"a"}, group: "a", ok: true},
		"none":                                  {broken: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			view := &domain.View{}
			for _, g := range test.whole {
				view.Groups = append(view.Groups, group(g, "fd-a", api.Load{Slots: 4}))
			}
			for _, g := range test.broken {
				broken := group(g, "fd-a", api.Load{Slots: 4})
				broken.Whole = false
				view.Remote = append(view.Remote, broken)
			}
			ended := func(g *domain.Group) bool {
				for _, name := range test.ended {
					if g.Name == name {
						return true
					}
				}
				return false
			}
			got, ok := Isolate(view, route(), Request{Exclude: test.exclude}, ended, test.crashed)
			assert.Equal(t, test.ok, ok)
			if test.ok {
				assert.Equal(t, test.group, got.Name)
			}
		})
	}
}

// Requests that avoid a group get it only where nothing else is left.
func TestAvoidedGroupIsTheLastChoice(t *testing.T) {
	both := table(group("a", "fd-a", api.Load{Slots: 4}), group("b", "fd-a", api.Load{Slots: 4}))
	one := table(group("a", "fd-a", api.Load{Slots: 4}))
	avoiding := pickRequest(route())
	avoiding.Request.Avoid = "a"
	assert.Equal(t, map[string]int{"b": 3}, countPicks(both, start, avoiding, 3))
	assert.Equal(t, map[string]int{"a": 3}, countPicks(one, start, avoiding, 3))
	only := pickRequest(route())
	only.Request.Only = "a"
	assert.Equal(t, map[string]int{"a": 3}, countPicks(both, start, only, 3))

	for _, names := range [][]string{{"a", "b"}, {"b", "a"}} {
		least, view := NewLeastOutstanding(), &domain.View{}
		for _, name := range names {
			view.Groups = append(view.Groups, group(name, "fd-a", api.Load{Slots: 4}))
		}
		for range 3 {
			got, err := least.Pick(view, route(), *avoiding.Request)
			assert.NoError(t, err)
			assert.Equal(t, "b", got.Name)
		}
	}
}
