package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func drain(t *testing.T, r *Response) {
	buf := make([]byte, 64)
	for {
		if _, err := r.Read(buf); err != nil {
			require.ErrorIs(t, err, io.EOF)
			return
		}
	}
}

// Guards against reading the state of the connection after Finish: in the pool it is marked
// as reused, so that a later Abort would report Reused for a connection's first call.
func TestAbortAfterFinishReportsOwnConnection(t *testing.T) {
	u := &upstream{respond: func(*http.Request, int) string { return ok("r", "done") }, keepOpen: true}
	r, err := u.client(0).Begin(context.Background(), testCall("r"))
	require.NoError(t, err)
	drain(t, r)
	r.Finish()
	assert.False(t, r.Abort(Canceled, context.Canceled).Reused, "the connection was opened for this call")
}

// Guards against a data race, visible with -race: an Abort after Finish accesses the
// connection while the next exchange already uses it.
func TestEndedResponseDoesNotAccessConnection(t *testing.T) {
	u := &upstream{respond: func(req *http.Request, _ int) string {
		return ok(req.Header.Get(HeaderRequestID), "done")
	}, keepOpen: true}
	c := u.client(0)
	first, err := c.Begin(context.Background(), testCall("r1"))
	require.NoError(t, err)
	drain(t, first)
	first.Finish()
	var wg sync.WaitGroup
	wg.Go(func() {
		second, err := c.Begin(context.Background(), testCall("r2"))
		if assert.NoError(t, err) {
			drain(t, second)
			second.Finish()
		}
	})
	// The caller's side always aborts at its end, even after Finish.
	_ = first.Abort(Canceled, context.Canceled)
	wg.Wait()
	assert.Equal(t, int32(1), u.dials.Load(), "both calls must use the same connection")
}

// Guards against a panic: after a failure the body has been returned to the library's pool,
// so that a further Next would read the buffers of another response.
func TestFailedStreamIsNotReadAgain(t *testing.T) {
	text := "id: 0\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata: c\n\n"
	for name, body := range map[string]string{
		"gap":                    text,
		"gap, more data follows": text + string(make([]byte, 32<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			u := &upstream{respond: func(*http.Request, int) string { return stream(body) }, keepOpen: true}
			s, response, err := u.client(0).OpenStream(context.Background(), testCall("r"), 0)
			require.NoError(t, err)
			require.Nil(t, response)
			for err == nil {
				_, err = s.Next()
			}
			callErr, isCallError := CallErrorOf(err)
			require.True(t, isCallError)
			require.True(t, errors.Is(callErr, errGap))
			require.NotPanics(t, func() {
				for range 4 {
					event, err := s.Next()
					require.Error(t, err, "event %q after the failure", event.Data)
				}
			})
		})
	}
}
