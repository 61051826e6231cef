package document

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func route(name, prefix string) Route {
	return Route{
		Name: name, Host: "h", PathPrefix: prefix, Timeout: time.Second,
		Services: []WeightedService{{Service: "s", Weight: 1}},
	}
}

func documentOf(routes ...Route) *Document {
	return &Document{Routes: routes, Services: map[string]*Service{"s": {Name: "s"}, "t": {Name: "t"}}}
}

func TestLongestPrefixWins(t *testing.T) {
	d := documentOf(route("root", "/"), route("a", "/a/"), route("ab", "/a/b/"), route("deep", "/x/y/z/"))
	require.NoError(t, d.Index())
	for path, want := range map[string]string{
		"/": "root", "/a": "root", "/a/": "a", "/a/c": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab",
		"/x/y/": "root", "/x/y/z/1": "deep", "/ab/": "root",
	} {
		assert.Equal(t, want, d.Route("h", path).Name, path)
	}
	assert.Nil(t, d.Route("other", "/a/"))
	assert.Nil(t, d.Route("h", "a/"))
	without := documentOf(route("a", "/a/"))
	require.NoError(t, without.Index())
	assert.Nil(t, without.Route("h", "/b/"))
}

func TestInvalidDocuments(t *testing.T) {
	noTimeout, unknown, noWeight := route("r", "/r/"), route("r", "/r/"), route("r", "/r/")
	noTimeout.Timeout = 0
	unknown.Services = []WeightedService{{Service: "nowhere", Weight: 1}}
	noWeight.Services = []WeightedService{{Service: "s"}, {Service: "t"}}
	shared := documentOf()
	shared.Accounts = []Account{{Name: "one", Keys: []string{"k"}}, {Name: "two", Keys: []string{"k"}}}
	for name, d := range map[string]*Document{
		"no timeout": documentOf(noTimeout), "unknown service": documentOf(unknown), "no weight": documentOf(noWeight),
		"same place": documentOf(route("a", "/a/"), route("b", "/a/")), "shared key": shared,
	} {
		var invalid *InvalidError
		require.ErrorAs(t, d.Index(), &invalid, name)
		assert.NotEmpty(t, invalid.Remedy, name)
	}
}

func TestContentIsReadBackByteForByte(t *testing.T) {
	content := []byte(`{"version":7,"routes":[ ] }`)
	packed, err := Pack(content)
	require.NoError(t, err)
	unpacked, err := Unpack(packed)
	require.NoError(t, err)
	assert.Equal(t, content, unpacked)
	_, err = Unpack(packed[:len(packed)/2])
	require.Error(t, err, "a truncated document")
}

func TestServicesShareByWeight(t *testing.T) {
	r := route("r", "/r/")
	r.Services = []WeightedService{{"s", 90}, {"none", 0}, {"t", 10}}
	assert.Equal(t, "s", r.Service(0))
	assert.Equal(t, "s", r.Service(0.899))
	assert.Equal(t, "t", r.Service(0.9))
	assert.Equal(t, "t", r.Service(0.999))
}
