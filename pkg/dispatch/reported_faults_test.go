package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const refusalOfR = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nMasticmount-Request-Id: r\r\nMasticmount-Outcome: not-run\r\n\r\n"

// An upstream wrote an earlier refusal once more on a kept connection. It was taken for the refusal of a later send of the
// same request, which ran.
func TestRepeatedRefusalIsNotTakenForThatOfLaterSend(t *testing.T) {
	runs := 0
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				answer := refusalOfR
				if runs++; runs > 1 && n == 0 {
					answer = ok("r", "ran")
				}
				if _, err := io.WriteString(far, answer); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
	c := NewClientWith(Options{Dial: dial})
	defer c.Close()
	_, err := c.Do(context.Background(), testCall("r"))
	require.Equal(t, outcome{Refused, true}, outcomeOf(err))
	response, err := c.Do(context.Background(), testCall("r"))
	require.NoError(t, err, "the second send must not read what belongs to the first")
	assert.Equal(t, "ran", string(response.Body))
}

// An earlier refusal that comes once more where the answer to another request is due says nothing about that request.
func TestRepeatedRefusalOfOtherRequestIsNoRefusal(t *testing.T) {
	u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return refusalOfR }}
	c := u.client(0)
	defer c.Close()
	_, err := c.Do(context.Background(), testCall("r"))
	require.Equal(t, outcome{Refused, true}, outcomeOf(err))
	_, err = c.Do(context.Background(), testCall("other"))
	require.Equal(t, outcome{ResponseMismatch, false}, outcomeOf(err))
}

// An upstream stopped in the middle of its answer's head and closed. Callers got an answer with an empty or short body
// that was framed as whole.
func TestAnswerThatEndsInsideItsHeadIsNone(t *testing.T) {
	for _, whole := range []string{
		ok("r", "done"),
		"HTTP/1.1 200 OK\r\nMasticmount-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nMasticmount-Request-Id: r\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nMasticmount-Request-Id: r\r\n\r\n",
	} {
		for cut := range strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n") {
			u := &upstream{respond: func(*http.Request, int) string { return whole[:cut] }}
			c := NewClientWith(Options{Dial: u.dial, Protocol: Protocol{AllowUnframed: true}})
			resp, err := c.Begin(context.Background(), testCall("r"))
			if err == nil {
				_, err = resp.ReadAll()
			}
			assert.Equal(t, outcome{Truncated, false}, outcomeOf(err), "%q", whole[:cut])
			c.Close()
		}
	}
}
