package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// numberedEvents returns events with the given identifiers, one chunk each.
func numberedEvents(ids ...string) string {
	text := ""
	for _, id := range ids {
		if id != "" {
			id = "id: " + id + "\n"
		}
		text += chunk(id + "data: x\n\n")
	}
	return text
}

// Guards against resumptions that do not continue after the requested event: repeated events,
// events after a gap and events of unknown position must not be passed on.
func TestResumptionRejectsRepeatedOrMissingEvents(t *testing.T) {
	for name, c := range map[string]struct {
		first, second []string
		// caller is the Last-Event-Id that the caller sends.
		caller string
		// got are the identifiers that the caller receives; complete is true if the stream ends
		// without an error.
		got      []string
		complete bool
		sends    int
	}{
		"continues":                        {[]string{"1", "2"}, []string{"3", "4"}, "", []string{"1", "2", "3", "4"}, true, 2},
		"continues after one event":        {[]string{"1"}, []string{"2"}, "", []string{"1", "2"}, true, 2},
		"no events left":                   {[]string{"1", "2"}, nil, "", []string{"1", "2"}, true, 2},
		"steps of five":                    {[]string{"5", "10"}, []string{"15", "20"}, "", []string{"5", "10", "15", "20"}, true, 2},
		"steps of five, skips one":         {[]string{"5", "10"}, []string{"20"}, "", []string{"5", "10"}, false, 2},
		"irregular steps":                  {[]string{"5", "10", "12"}, []string{"20"}, "", []string{"5", "10", "12", "20"}, true, 2},
		"restarts":                         {[]string{"1", "2"}, []string{"1", "2", "3"}, "", []string{"1", "2"}, false, 2},
		"repeats the last":                 {[]string{"1", "2"}, []string{"2", "3"}, "", []string{"1", "2"}, false, 2},
		"skips one":                        {[]string{"1", "2"}, []string{"4", "5"}, "", []string{"1", "2"}, false, 2},
		"skips one after the first":        {[]string{"1"}, []string{"3"}, "", []string{"1"}, false, 2},
		"caller resumes, first skips":      {[]string{"9", "10"}, []string{"8", "9"}, "7", []string{"8", "9"}, true, 2},
		"caller resumes, first without ID": {[]string{"", "9"}, []string{"8", "9"}, "7", []string{"8", "9"}, true, 2},
		"later run without identifiers":    {[]string{"1", "2"}, []string{"", "4"}, "", []string{"1", "2"}, false, 2},
		"later run, not numeric":           {[]string{"1", "2"}, []string{"c", "d"}, "", []string{"1", "2"}, false, 2},
		"not numeric":                      {[]string{"a", "b"}, []string{"c"}, "", []string{"a", "b"}, false, 1},
		"no identifiers":                   {[]string{"", ""}, []string{"", ""}, "", []string{"", ""}, false, 1},
		"last event without identifier":    {[]string{"1", ""}, []string{"2"}, "", []string{"1", ""}, false, 1},
		"caller resumes, continues":        {nil, []string{"8", "9"}, "7", []string{"8", "9"}, true, 2},
		"caller resumes, both continue":    {[]string{"8"}, []string{"9"}, "7", []string{"8", "9"}, true, 2},
		"caller resumes, second skips":     {[]string{"8"}, []string{"10"}, "7", []string{"8"}, false, 2},
		"caller resumes, first restarts":   {[]string{"1", "2"}, []string{"8", "9"}, "7", []string{"8", "9"}, true, 2},
		"caller resumes, not numeric":      {nil, []string{"a", "b"}, "x", []string{"a", "b"}, true, 2},
		"caller resumes, last without ID":  {[]string{"8", ""}, []string{"9"}, "7", []string{"8", ""}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(_ *http.Request, _ string, _ net.Conn) (string, bool) {
				if runs++; runs == 1 {
					return fmt.Sprintf(streamHead, "p") + numberedEvents(c.first...), false
				}
				return fmt.Sprintf(streamHead, "p") + numberedEvents(c.second...) + "0\r\n\r\n", true
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				var headers []string
				if c.caller != "" {
					headers = []string{"Last-Event-Id: " + c.caller}
				}
				resp, body, err := h.call("POST", "/stream/x", "prompt", headers...)
				assert.Equal(t, 200, resp.StatusCode)
				want := ""
				for _, id := range c.got {
					want += strings.TrimPrefix("id: "+id+"\n", "id: \n") + "data: x\n\n"
				}
				assert.Equal(t, want, body)
				if c.complete {
					assert.NoError(t, err)
				} else {
					assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				}
				assert.Equal(t, c.sends, runs)
			})
		})
	}
}

// A comment is not an event: the first event after it must still be checked against the
// requested position.
func TestResumptionPositionIsCheckedAfterComment(t *testing.T) {
	runs := 0
	upstream := func(_ *http.Request, _ string, _ net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return fmt.Sprintf(streamHead, "p") + chunk(": warm\n\n") + numberedEvents("1", "2"), false
		}
		return fmt.Sprintf(streamHead, "p") + chunk(": warm\n\n") + numberedEvents("2", "3") + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.NotContains(t, strings.TrimPrefix(body, ": warm\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"), "id:")
	})
}

// For a service that was seen to leave gaps in its identifiers, a resumption is accepted if
// its identifiers rise.
func TestResumptionOfServiceWithGapsInIdentifiers(t *testing.T) {
	runs := 0
	upstream := func(req *http.Request, _ string, _ net.Conn) (string, bool) {
		head := fmt.Sprintf(streamHead, "p")
		switch runs++; {
		case strings.HasSuffix(req.RequestURI, "seen"):
			return head + numberedEvents("5", "10") + "0\r\n\r\n", true
		case runs == 2:
			return head + numberedEvents("5"), false
		default:
			return head + numberedEvents("10", "15") + "0\r\n\r\n", true
		}
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, _, err := h.call("POST", "/stream/seen", "prompt")
		assert.NoError(t, err)
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, "id: 5\ndata: x\n\nid: 10\ndata: x\n\nid: 15\ndata: x\n\n", body)
	})
}
