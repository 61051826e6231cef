package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nMasticmount-Request-Id: r\r\n\r\n"

// After the end of a response its buffers may belong to another exchange. Further reads must
// return how it ended and no data.
func TestReadAfterEndOfResponse(t *testing.T) {
	buf := make([]byte, 64)
	read := func(r *Response) (err error) {
		for err == nil {
			_, err = r.Read(buf)
		}
		return err
	}
	for name, test := range map[string]struct {
		response string
		end      func(r *Response) error
	}{
		"finished":                            {chunkedHead + "4\r\ndone\r\n0\r\n\r\n", func(r *Response) error { err := read(r); r.Finish(); return err }},
		"aborted":                             {chunkedHead + "4\r\ndone\r\n0\r\n\r\n", func(r *Response) error { return r.Abort(Malformed, errNoLength) }},
		"truncated inside a chunk":            {chunkedHead + "9\r\ndone", read},
		"truncated after a chunk's data":      {chunkedHead + "4\r\ndone", read},
		"truncated between chunks":            {chunkedHead + "4\r\ndone\r\n", read},
		"truncated before the content length": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", read},
		"complete body":                       {ok("r", "done"), func(r *Response) error { _, err := r.ReadAll(); return errors.Join(err, io.EOF) }},
		"ReadAll of a truncated body":         {chunkedHead + "4\r\ndone", func(r *Response) error { _, err := r.ReadAll(); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			u := &upstream{respond: func(*http.Request, int) string { return test.response }}
			r, err := u.client(0).Begin(context.Background(), testCall("r"))
			require.NoError(t, err)
			want := test.end(r)
			require.Error(t, want)
			for range 2 {
				n, err := r.Read(buf)
				require.Zero(t, n)
				require.Equal(t, outcomeOf(want), outcomeOf(err))
				require.Equal(t, errors.Is(want, io.EOF), errors.Is(err, io.EOF))
				_, err = r.ReadAll()
				require.Error(t, err)
			}
			r.Finish()
			require.Equal(t, Canceled, r.Abort(Canceled, context.Canceled).Reason)
			_, err = r.Read(buf)
			require.Equal(t, outcomeOf(want), outcomeOf(err), "the first end must be kept")
		})
	}
}

// A refusal is what its upstream states, not what its status promises to callers.
func TestResponseStatesWhetherItsRequestRan(t *testing.T) {
	for head, want := range map[string]Execution{
		"503 X\r\nMasticmount-Outcome: not-run": StatedNotRun,
		"429 X\r\nMasticmount-Outcome: not-run": StatedNotRun,
		"409 X\r\nMasticmount-Outcome: not-run": StatedNotRun,
		"503 X":                                 ImpliedNotRun,
		"503 X\r\nRetry-After: 1":               ImpliedNotRun,
		"503 X\r\nMasticmount-Outcome: ran":     ImpliedNotRun,
		"429 X":                                 ImpliedNotRun,
		"408 X":                                 ImpliedNotRun,
		"200 X":                                 MayHaveRun,
		"409 X":                                 MayHaveRun,
		"500 X":                                 MayHaveRun,
		"502 X":                                 MayHaveRun,
		"504 X":                                 MayHaveRun,
	} {
		u := &upstream{respond: func(*http.Request, int) string {
			return "HTTP/1.1 " + head + "\r\nMasticmount-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
		}}
		c := u.client(0)
		resp, err := c.Begin(context.Background(), testCall("r"))
		got := StatedNotRun
		if err == nil {
			got = resp.Execution()
			resp.Finish()
		} else {
			assert.Equal(t, outcome{Refused, true}, outcomeOf(err), head)
		}
		assert.Equal(t, want, got, head)
		c.Close()
	}
}
