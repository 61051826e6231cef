package dispatch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/statement"
)

// withField inserts a line behind the status line of a response.
func withField(response, line string) string {
	return strings.Replace(response, "\r\n", "\r\n"+line+"\r\n", 1)
}

const doneInChunks = chunkedHead + "4\r\ndone\r\n0\r\n"

// Guards against responses in which the name of a field is no token: whatever they state is not used, not even that the request
// did not run, and their connections are not used again.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	refusal := "HTTP/1.1 503 Busy\r\nMasticmount-Request-Id: r\r\nMasticmount-Outcome: not-run\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	for name, response := range map[string]string{
		"blank in a name":               withField(ok("r", "done"), "Bad Name: v"),
		"blank before the colon":        withField(ok("r", "done"), "Bad : v"),
		"control byte":                  withField(ok("r", "done"), "Bad\x01: v"),
		"last field":                    strings.Replace(ok("r", "done"), "Id: r\r\n", "Id: r\r\nBad Name: v\r\n", 1),
		"blank in the identifier":       strings.Replace(ok("r", "done"), "Request-Id:", "Request-Id :", 1),
		"refusal":                       withField(refusal, "Bad Name: v"),
		"blank in the outcome":          strings.Replace(refusal, "Outcome:", "Outcome :", 1),
		"interim response":              withField("HTTP/1.1 103 X\r\n\r\n", "Bad Name: v") + ok("r", "done"),
		"trailer":                       doneInChunks + "Bad Name: v\r\n\r\n",
		"trailer, blank before a colon": doneInChunks + "Good: v\r\nBad : v\r\n\r\n",
		"trailer, control byte":         doneInChunks + "Bad\x7f: v\r\n\r\n",
		"trailer behind a folded one":   doneInChunks + "Good: v\r\n folded\r\nBad Name: v\r\n\r\n",
	} {
		u := &upstream{keepOpen: true, respond: func(req *http.Request, run int) string {
			if run == 1 {
				return strings.ReplaceAll(response, "Id: r\r", "Id: "+req.Header.Get(HeaderRequestID)+"\r")
			}
			return ok(req.Header.Get(HeaderRequestID), "sound")
		}}
		read := map[string]func(c *Client) error{
			"Do": func(c *Client) error {
				_, err := c.Do(context.Background(), testCall("r"))
				return err
			},
			"Begin": func(c *Client) error {
				r, err := c.Begin(context.Background(), testCall("r"))
				if err != nil {
					return err
				}
				_, err = r.ReadAll()
				return err
			},
			"OpenStream": func(c *Client) error {
				_, _, err := c.OpenStream(context.Background(), testCall("r"), 0)
				return err
			},
			"SendOrder": func(c *Client) error { return c.SendOrder(context.Background(), "10.0.0.1:80", api.Order{}) },
		}
		for reader, call := range read {
			u.runs.Store(0)
			u.dials.Store(0)
			c := u.client(0)
			c.SetPauseHandler(func(statement.Incarnation, time.Duration) { assert.Fail(t, "nothing is stated") })
			assert.Equal(t, outcome{Malformed, false}, outcomeOf(call(c)), "%s %s", name, reader)
			assert.NoError(t, call(c), "%s %s", name, reader)
			assert.EqualValues(t, 2, u.dials.Load(), "%s %s", name, reader)
			c.Close()
		}
	}
}

// Guards against a check that refuses or cuts what HTTP allows, however it arrives.
func TestSoundResponsesPassInPieces(t *testing.T) {
	full := withField(ok("r", "done"), "Long: "+strings.Repeat("v", readBufferBytes-len(withField(ok("r", ""), "Long: "))))
	for name, response := range map[string]string{
		"length": ok("r", "done"), "head of the size of the buffer": full, "folded field": withField(ok("r", "done"), "A: b\r\n c"),
		"chunks": chunkedHead + "1\r\nd\r\n3;name=value\r\none\r\n000\r\n\r\n", "trailers": doneInChunks + "Good: v\r\n\tfolded\r\nOther:\r\n\r\n",
		"empty body": chunkedHead + "0\r\n\r\n", "interim": "HTTP/1.1 103 X\r\nLong: " + strings.Repeat("v", 1<<10) + "\r\n" + strings.Repeat("A: b\r\n", 4<<10) + "\r\n" + ok("r", "done"),
		"body like a trailer": chunkedHead + "10\r\n0\r\nBad Name: v\r\n\r\n0\r\n\r\n",
	} {
		for _, size := range []int{1, 7, len(response)} {
			u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return response }}
			dials := 0
			c := NewClientWith(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				dials++
				conn, err := u.dial(ctx, address)
				return &shortReads{conn, size}, err
			}})
			for range 3 {
				r, err := c.Do(context.Background(), testCall("r"))
				require.NoError(t, err, "%s in pieces of %d", name, size)
				if name != "empty body" && name != "body like a trailer" {
					require.Equal(t, "done", string(r.Body))
				}
			}
			assert.Equal(t, 1, dials, "%s in pieces of %d: the connection is used again", name, size)
			c.Close()
		}
	}
}

// shortReads is a connection whose reads return few bytes each.
type shortReads struct {
	net.Conn
	size int
}

func (c *shortReads) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), c.size)]) }
