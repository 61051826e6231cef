package cli

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
)

// Guards against a client that checks heads and then speaks plain text to an https address, or trusts any certificate.
func TestCallsOverTLSCheckTheCertificate(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "Bearer token", r.Header.Get("Authorization"))
		_, _ = w.Write([]byte(`{"revision":7}`))
	}))
	defer server.Close()
	authority := filepath.Join(t.TempDir(), "ca.pem")
	require.NoError(t, os.WriteFile(authority, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	for caFile, trusted := range map[string]bool{authority: true, "": false} {
		client, err := NewClient(server.URL, "token", caFile)
		require.NoError(t, err)
		_, err = client.Status()
		if trusted {
			assert.NoError(t, err)
			continue
		}
		assert.Equal(t, fault.NoQuorum, fault.From(err).Kind, "%v", err)
	}
}
