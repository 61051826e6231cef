package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

// Guards against a race: a revocation may come into force, and be confirmed, between the entry's
// reads of the view and of its age, so that the old view would be taken for a fresh one.
func TestKeyRevokedDuringRequestIsNotAccepted(t *testing.T) {
	for _, readBefore := range []string{"view", "age"} {
		t.Run("after reading the "+readBefore, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
				h.configAge = 5 * time.Second
				revoked := testDocument(t)
				revoked.Version, revoked.Accounts[0].Keys = 2, nil
				require.NoError(t, revoked.Index())
				revoke := func(read string) {
					if read == readBefore {
						h.view, h.configAge = &attach.View{Document: revoked, Targets: h.view.Targets}, 0
					}
				}
				h.entry.opts.View = func() *attach.View { defer revoke("view"); return h.view }
				h.entry.opts.ConfigAge = func() time.Duration { defer revoke("age"); return h.configAge }
				resp, _, err := h.call("GET", "/repeat/x", "")
				require.NoError(t, err)
				assert.NotEqual(t, 200, resp.StatusCode)
				assert.Empty(t, h.received)
			})
		})
	}
}

// The reported outcome must cover all sends of a request, in whatever order they failed.
func TestOutcomeCoversEverySend(t *testing.T) {
	refused, lost := answer(503, "", "Test-Refused: 1"), ""
	for name, test := range map[string]struct {
		answers []string
		target  string
		status  int
		outcome string
	}{
		"once, refused, then lost":               {[]string{refused, lost}, "/once/x", 502, "unknown"},
		"once, refused, then an error":           {[]string{refused, answer(500, "broken")}, "/once/x", 500, ""},
		"once, a 503 without refusal mark":       {[]string{answer(503, "busy")}, "/once/x", 502, "unknown"},
		"once, refused, then such a 503":         {[]string{refused, answer(503, "busy")}, "/once/x", 502, "unknown"},
		"repeatable, such a 503, then refused":   {[]string{answer(503, "busy"), refused}, "/repeat/x", 502, "unknown"},
		"repeatable, lost, then refused":         {[]string{lost, refused}, "/repeat/x", 502, "unknown"},
		"repeatable, refused, then lost":         {[]string{refused, lost}, "/repeat/x", 502, "unknown"},
		"repeatable, an error, then refused":     {[]string{answer(500, "broken"), refused}, "/repeat/x", 502, "unknown"},
		"repeatable, unsigned, then refused":     {[]string{strings.Replace(refused, "Test-Refused: 1", "", 1), refused}, "/repeat/x", 502, "unknown"},
		"repeatable, refused by all":             {[]string{refused, refused}, "/repeat/x", 503, "not-run"},
		"stream, refused by all":                 {[]string{refused, refused}, "/stream/x", 503, "not-run"},
		"stream, broken before it, then refused": {[]string{fmt.Sprintf(streamHead, "p"), refused}, "/stream/x", 502, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(*http.Request, string, net.Conn) (string, bool) {
				runs++
				return test.answers[runs-1], false
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				resp, _, err := h.call("POST", test.target, "grant")
				require.NoError(t, err)
				assert.Equal(t, test.status, resp.StatusCode)
				assert.Equal(t, test.outcome, resp.Header.Get("Masticmount-Outcome"))
				assert.Equal(t, test.outcome == "not-run", resp.Header.Get("Retry-After") != "")
				assert.Len(t, h.received, len(test.answers))
			})
		})
	}
}

// Without another target for a retry, the outcome must be that of the first send.
func TestOutcomeIsKeptWithoutOtherTarget(t *testing.T) {
	for name, test := range map[string]struct {
		first   string
		status  int
		outcome string
	}{
		"refused":  {answer(503, "", "Test-Refused: 1"), 503, "not-run"},
		"lost":     {"", 502, "unknown"},
		"an error": {answer(500, "broken"), 502, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) { return test.first, false }}, func(h *harness) {
				resp, _, err := h.call("POST", "/repeat/x", "grant")
				require.NoError(t, err)
				assert.Equal(t, test.status, resp.StatusCode)
				assert.Equal(t, test.outcome, resp.Header.Get("Masticmount-Outcome"))
				assert.Len(t, h.received, 1)
			})
		})
	}
}
