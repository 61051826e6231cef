package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// afterStatusLine inserts lines behind the status line of a response.
func afterStatusLine(lines string) func(string) string {
	return func(response string) string {
		return strings.Replace(response, "HTTP/1.1 200 X\r\n", "HTTP/1.1 200 X\r\n"+lines+"\r\n", 1)
	}
}

// withTrailer sends a response in chunks, with a trailer field behind them.
func withTrailer(line string) func(string) string {
	return func(response string) string {
		response = strings.Replace(response, "Content-Length: 7\r\n\r\nspoiled", "Transfer-Encoding: chunked\r\n\r\n"+chunk("spoiled")+"0\r\n\r\n", 1)
		return strings.Replace(response, "0\r\n\r\n", "0\r\n"+line+"\r\n\r\n", 1)
	}
}

// Guards against the answer of an upstream in trouble in whose head the name of a field is no token: the library accepts blanks
// in names, passes such fields on, and thus misses the framing that one of them may have stated.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"blank in a name":               afterStatusLine("Bad Name: v"),
		"blank before the colon":        afterStatusLine("Bad : v"),
		"tab in a name":                 afterStatusLine("Bad\tName: v"),
		"NUL in a name":                 afterStatusLine("Bad\x00Name: v"),
		"DEL in a name":                 afterStatusLine("Bad\x7f: v"),
		"CR in a name":                  afterStatusLine("Bad\rName: v"),
		"byte above ASCII in a name":    afterStatusLine("B\xc3\xa4d: v"),
		"no name":                       afterStatusLine(": v"),
		"no colon":                      afterStatusLine("Bad"),
		"blank before the first name":   afterStatusLine(" Bad: v"),
		"blank in the signature's name": func(r string) string { return strings.Replace(r, "Test-Signature:", "Test-Signature :", 1) },
		"blank before the length": func(r string) string {
			return afterStatusLine("Content-Length : 2")(strings.Replace(r, "Content-Length: 7\r\n", "", 1))
		},
		"interim response":                func(r string) string { return "HTTP/1.1 103 X\r\nBad Name: v\r\n\r\n" + r },
		"interim response with a NUL":     func(r string) string { return "HTTP/1.1 100 X\r\nA\x00: v\r\n\r\n" + r },
		"trailer, blank in a name":        withTrailer("Bad Name: v"),
		"trailer, blank before a colon":   withTrailer("Sound: v\r\nBad : v"),
		"trailer, control byte in a name": withTrailer("Bad\x01: v"),
		"chunks without their header": func(r string) string {
			r = strings.Replace(r, "Content-Length: 7\r\n\r\nspoiled", "Transfer Encoding: chunked\r\n\r\n"+chunk("spoiled")+"0\r\n\r\n", 1)
			return strings.Replace(r, "Transfer-Encoding:", "Transfer Encoding:", 1)
		},
	} {
		t.Run(name, func(t *testing.T) { assertNoAnswer(t, spoil) })
	}
}

// Guards against an answer whose body ends in another place for its caller than for the entry.
func TestAmbiguousFramingIsNoAnswer(t *testing.T) {
	inChunks := withTrailer("Sound: v")
	for name, spoil := range map[string]func(string) string{
		"chunks beside a length": func(r string) string { return afterStatusLine("Content-Length: 2")(inChunks(r)) },
		"chunks in HTTP/1.0":     func(r string) string { return strings.Replace(inChunks(r), "HTTP/1.1", "HTTP/1.0", 1) },
	} {
		t.Run(name, func(t *testing.T) { assertNoAnswer(t, spoil) })
	}
}

// Guards against requests whose names of fields an upstream may read otherwise than the entry did, and take for another request.
func TestRequestWithInvalidFieldNameIsRefused(t *testing.T) {
	for _, line := range []string{"Bad Name: v", "Transfer Encoding: chunked", "Content Length: 2", "Bad : v", "Bad\t: v", "B\x00: v", ": v", "Bad"} {
		for _, path := range []string{"/repeat/x", "/once/x", "/stream/x", "/nowhere/x"} {
			inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "sound"))}, func(h *harness) {
				resp, _, err := h.call("POST", path, "body", line)
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadRequest, resp.StatusCode, "%q %s", line, path)
				assert.True(t, resp.Close, "%q %s", line, path)
				assert.Empty(t, h.received, "%q %s", line, path)
			})
		}
	}
}

// Guards against a check that refuses what HTTP allows.
func TestUnusualSoundFieldsPass(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"all characters of a token": afterStatusLine("!#$%&'*+-.^_`|~09azAZ: v"),
		"no blank behind the colon": afterStatusLine("Sound:v"),
		"empty value":               afterStatusLine("Sound:"),
		"folded value":              afterStatusLine("Sound: a\r\n\tb\r\n c"),
		"colons in a value":         afterStatusLine("Sound: a b: c"),
		"bytes above ASCII":         afterStatusLine("Sound: \xc3\xa4"),
		"large head":                afterStatusLine("Sound: " + strings.Repeat("v", 15<<10)),
		"many fields":               afterStatusLine(strings.Repeat("Sound: v\r\n", 1000) + "Sound: v"),
		"interim response":          func(r string) string { return "HTTP/1.1 103 X\r\nLink: a b\r\n\r\n" + r },
		"trailers":                  withTrailer("Sound: v\r\nOther:"),
	} {
		for target, want := range map[string]string{"/repeat/x": "spoiled", "/once/x": "spoiled", "/stream/x": event(1) + event(2) + event(3)} {
			upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
				response := answer(200, "spoiled")
				if strings.HasPrefix(target, "/stream/") {
					response = resumedStreamAnswer(req, 3)
				}
				response = change(response)
				for len(response) > 1 && len(response) < 1<<10 {
					_, _ = conn.Write([]byte(response[:1]))
					response = response[1:]
				}
				return response, true
			}
			inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
				resp, body, err := h.call("POST", target, "body")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, resp.StatusCode, "%s %s", name, target)
				assert.Equal(t, want, body, "%s %s", name, target)
			})
		}
	}
}

// Guards against logs that show an invalid answer as one that was lost on its way.
func TestLogsTellInvalidFieldFromTruncatedAnswer(t *testing.T) {
	for response, cause := range map[string]string{
		afterStatusLine("Bad Name: v")(answer(200, "x")): `the send to a:1 failed: malformed ("Bad Name: v" is no field line; its name must be a token (RFC 9110, 5.6.2)); the request may have run, so it was not retried`,
		withTrailer("Bad : v")(answer(200, "spoiled")):   `the send to a:1 failed: malformed (trailer: "Bad : v" is no field line; its name must be a token (RFC 9110, 5.6.2)); the request may have run, so it was not retried`,
		"HTTP/1.1 200 X\r\nBad Na":                       "the send to a:1 failed: cut-off; the request may have run, so it was not retried",
	} {
		inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) { return response, false }}, func(h *harness) {
			_, _, _ = h.call("POST", "/once/x", "body")
			assert.Equal(t, cause, causeOf(t, h.log.String(), "r1"))
		})
	}
}
