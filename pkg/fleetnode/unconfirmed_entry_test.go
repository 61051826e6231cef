package fleetnode

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an entry without keepers that refuses a request which a change may have allowed meanwhile. What its
// configuration allows is served on.
func TestEntryWithoutKeepersRefusesNothingByItsConfiguration(t *testing.T) {
	r := startPathRegion(t, 1)
	require.Equal(t, http.StatusNotFound, r.call(0, "nowhere"))
	r.stopKeeper()
	require.Eventually(t, func() bool { return r.call(0, "nowhere") == http.StatusServiceUnavailable }, 20*time.Second, 50*time.Millisecond)
	assert.Equal(t, 20, r.serve(0, 20))
	assert.Equal(t, http.StatusServiceUnavailable, r.call(0, "nowhere"))
}
