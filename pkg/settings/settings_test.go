package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var digest = strings.Repeat("ab", 32)

var valid = fmt.Sprintf(`
[node]
id = "a1"
region = "kerala"
failure_domain = "fd-a"
roles = ["entry", "keeper"]
data_folder = "data"
[listen]
callers = "127.0.0.1:8080"
admin = "127.0.0.1:8081"
peers = "[::1]:8082"
[tokens]
operators_sha256 = ["%[1]s"]
announcers_sha256 = ["%[1]s"]
[stop]
timeout = "30s"
[[peers]]
id = "a1"
failure_domain = "fd-a"
address = "127.0.0.1:8082"
keeper = true
[[peers]]
id = "a2"
failure_domain = "fd-a"
address = "127.0.0.2:8082"
`, digest)

func TestParseKeepsDefaults(t *testing.T) {
	s, err := Parse([]byte(valid))
	require.NoError(t, err)
	assert.Equal(t, 30*time.Second, s.Stop.Timeout.Std())
	assert.Equal(t, Default().Callers, s.Callers)
	assert.Equal(t, "kerala/fd-a/a1", s.Node.String())
	assert.Len(t, s.Keepers(), 1)
	assert.Len(t, s.DomainPeers(), 2)
}

func TestParseErrorsNameKeyAndRemedy(t *testing.T) {
	cases := []struct{ name, old, changed, want string }{
		{"host name", `"127.0.0.1:8080"`, `"localhost:8080"`, `listen.callers = "localhost:8080": give an IP address`},
		{"unknown key", `[stop]`, "[stop]\ncolour = 1", "stop.colour at line 16: unknown key; remove it"},
		{"bad digest", `operators_sha256 = ["` + digest, `operators_sha256 = ["short`, `tokens.operators_sha256 = "short": give a SHA-256`},
		{"no announcers", `announcers_sha256 = ["` + digest + `"]`, "", "tokens.announcers_sha256 = \"\": list at least one digest"},
		{"range", `timeout = "30s"`, `timeout = "2h"`, `stop.timeout = "2h0m0s": give a duration from 1s to 1h0m0s`},
		{"not a duration", `timeout = "30s"`, `timeout = "soon"`, "line 16"},
		{"no folder", `data_folder = "data"`, "", "node.data_folder = \"\": a keeper needs a folder"},
		{"self missing", `id = "a1"`, `id = "a9"`, `peers = "a9": list every node`},
		{"roles disagree", `keeper = true`, `keeper = false`, "make them agree"},
		{"same address", `127.0.0.2:8082`, `127.0.0.1:8082`, "give each node its own"},
		{"half of TLS", `[stop]`, "[tls]\ncertificate = \"absent.pem\"\n[stop]", "tls.key = \"\": set certificate, key and ca together"},
		{"role", `"entry", "keeper"`, `"entry", "keeper", "baker"`, "use entry or keeper"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.changed, 1)))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte("[node]\ncolour = 1\n[log]\nlevel = \"loud\"\n"))
	require.Error(t, err)
	for _, key := range []string{"node.colour", "node.id", "node.region", "node.roles", "listen.peers", "tokens.operators_sha256", "log.level", "peers"} {
		assert.Contains(t, err.Error(), key)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[node]\nid = 3")
	f.Add("[[peers]]\n[[peers]]")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err == nil {
			require.NoError(t, s.Check())
		}
	})
}
