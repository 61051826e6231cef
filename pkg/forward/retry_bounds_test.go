package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A send that follows another one late must not be handed more time than the caller has left.
func TestLateRetryIsHandedOnlyTheTimeLeft(t *testing.T) {
	const callerWaits, firstRun = 4 * time.Second, 2 * time.Second
	head := fmt.Sprintf(streamHead, "p")
	for name, test := range map[string]struct {
		target string
		first  script
		later  string
	}{
		"retry": {"/repeat/x", func(*http.Request, string, net.Conn) (string, bool) {
			<-time.After(firstRun)
			return "", false
		}, answer(200, "ok")},
		"resumption": {"/stream/x", func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
			for id := 1; id <= 8; id++ {
				_, _ = conn.Write([]byte(map[bool]string{true: head}[id == 1] + chunk(event(id))))
				<-time.After(firstRun / 8)
			}
			return "", false
		}, head + chunk(event(9)) + "0\r\n\r\n"},
		"successor": {"/stream/x", pausingStream(0, firstRun+unknownStartTimeout), head + chunk(event(1)) + "0\r\n\r\n"},
	} {
		var ends []time.Duration
		var began time.Time
		upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
			left, err := strconv.Atoi(req.Header.Get("Test-Left"))
			assert.NoError(t, err, name)
			ends = append(ends, time.Since(began)+time.Duration(left)*time.Millisecond)
			if len(ends) == 1 {
				return test.first(req, body, conn)
			}
			return test.later, true
		}
		inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
			began = time.Now()
			resp, _, err := h.call("POST", test.target, "text", fmt.Sprint("Test-Left: ", callerWaits.Milliseconds()))
			require.NoError(t, err, name)
			assert.Equal(t, 200, resp.StatusCode, name)
			require.Len(t, ends, 2, name)
			for _, end := range ends {
				assert.LessOrEqual(t, end, callerWaits, name)
			}
			<-time.After(2 * callerWaits)
		})
	}
}

// However many upstreams fail or fall silent, a request reaches no more of them than its route allows attempts.
func TestRequestReachesNoMoreUpstreamsThanItsAttempts(t *testing.T) {
	const attempts = 3
	head := fmt.Sprintf(streamHead, "p")
	for name, upstream := range map[string]script{
		"breaks":               func(*http.Request, string, net.Conn) (string, bool) { return "", false },
		"refuses":              alwaysAnswer(answer(503, "full", "Test-Refused: 1")),
		"is silent":            waitForClose(""),
		"is silent in streams": waitForClose(head),
		"breaks in streams":    func(*http.Request, string, net.Conn) (string, bool) { return head, false },
	} {
		for _, target := range []string{"/repeat/x", "/stream/x"} {
			upstreams := map[string]script{}
			for i := range 6 {
				upstreams[fmt.Sprintf("%c:1", 'a'+i)] = upstream
			}
			inBubble(t, upstreams, func(h *harness) {
				for i := range h.view.Document.Routes {
					h.view.Document.Routes[i].MaxAttempts = attempts
				}
				require.NoError(t, h.view.Document.Index())
				h.entry.UpdateView(h.view)
				_, _, _ = h.call("POST", target, "text")
				<-time.After(10 * time.Second)
				assert.LessOrEqual(t, len(h.received), attempts, "%s, %s", name, target)
			})
		}
	}
}

// Guards against more time than is left that an upstream is handed after the VM was suspended: the time of a suspension is in
// no other clock.
func TestTimeOfSuspensionIsNotHandedOn(t *testing.T) {
	arrived, boot := time.Unix(1_700_000_000, 0), time.Unix(5_000, 0)
	r := &request{arrivedAt: arrived, arrivedAtBoot: boot, deadline: arrived.Add(8 * time.Second)}
	assert.Equal(t, 7*time.Second, r.timeLeft(arrived.Add(time.Second), boot.Add(time.Second)))
	assert.Equal(t, 3*time.Second, r.timeLeft(arrived.Add(time.Second), boot.Add(5*time.Second)))
}

// Guards against the time for opening a connection being handed on: the header was made before it.
func TestTimeForOpeningAConnectionIsNotHandedOn(t *testing.T) {
	const opening = 900 * time.Millisecond
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		h.dialError = func(string) error {
			<-time.After(opening)
			return nil
		}
		resp, _, err := h.call("GET", "/repeat/x", "", "Test-Left: 2000")
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		left, err := strconv.Atoi((<-h.headers).Get("Test-Left"))
		require.NoError(t, err)
		assert.LessOrEqual(t, left, int((2*time.Second - opening).Milliseconds()))
	})
}
