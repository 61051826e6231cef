package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

const validAnnouncement = `{"id":"e1","address":"10.0.0.1:80","failure_domain":"fd-a","fabric_domain":"f1","kind":"engine","service":"captioner"}`

func TestParseAnnouncement(t *testing.T) {
	a, err := ParseAnnouncement([]byte(validAnnouncement))
	require.NoError(t, err)
	require.Equal(t, "e1", a.ID)
	_, err = ParseAnnouncement([]byte(`{"address":"host:80","kind":"vm","load":{"running":-1}}`))
	for _, field := range []string{"id", "failure_domain", "service", "address", "kind", "load"} {
		require.ErrorContains(t, err, field)
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"id":"e1","load":{"kv_used":1e400}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := ParseAnnouncement(body)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(a)
		require.NoError(t, err)
		_, err = ParseAnnouncement(encoded)
		require.NoError(t, err)
	})
}
