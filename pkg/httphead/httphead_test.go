package httphead

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bytes that are no answer and reach a caller as one.
func TestOnlyFinalResponsesPass(t *testing.T) {
	const final = "HTTP/1.1 204 \r\n\r\n"
	for text, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n": true, "HTTP/1.0 200 OK\r\n\r\n": true, "HTTP/1.1 599\r\n\r\n": true, "HTTP/1.1 404 \n\n": true, "HTTP/1.1 299 any\r\n\r\n": true,
		"\r\nHTTP/1.1 200 OK\r\n\r\n":                          true,
		"HTTP/1.1 100 Continue\r\n\r\n" + final:                true,
		"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + final:        true,
		strings.Repeat("HTTP/1.1 199\r\n\r\n", 8) + final:      true,
		strings.Repeat("HTTP/1.1 199\r\n\r\n", 9) + final:      false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n": false,
		"\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                  false,
		"HTTP/1.1 000 OK\r\n\r\n":                              false, "HTTP/1.1 000\r\n\r\n": false, "HTTP/1.1 099 OK\r\n\r\n": false, "HTTP/1.1 600 OK\r\n\r\n": false,
		"HTTP/1.1 999 OK\r\n\r\n": false, "HTTP/1.1 101 Switching\r\n\r\n": false, "HTTP/9.9 200 OK\r\n\r\n": false, "HTTP/2.0 200 OK\r\n\r\n": false,
		"HTTP/1.2 200 OK\r\n\r\n": false, "HTTP/1.1 0200 OK\r\n\r\n": false, "HTTP/1.1 99 OK\r\n\r\n": false, "HTTP/1.1 1000 O\r\n\r\n": false, "HTTP/1.1 -20 OK\r\n\r\n": false,
		"HTTP/1.1 2e2 OK\r\n\r\n": false, "HTTP/1.1  200 OK\r\n\r\n": false, "HTTP/1.1 \r\n\r\n\r\n\r\n": false, "HTTP/11 200 OK\r\n\r\n": false, "http/1.1 200 OK\r\n\r\n": false,
		"bytes that are no answer": false,
	} {
		r := bufio.NewReader(strings.NewReader(text))
		err := AwaitFinal(r)
		if !valid {
			var invalid *InvalidError
			assert.ErrorAs(t, err, &invalid, "%q", text)
			continue
		}
		require.NoError(t, err, "%q", text)
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(string(rest), "HTTP/1.") && strings.HasSuffix(text, string(rest)), "%q", rest)
		assert.NotContains(t, string(rest)[:12], " 1")
	}
}

func TestBrokenConnectionIsNoInvalidResponse(t *testing.T) {
	for text, want := range map[string]error{"": io.EOF, "HTTP/1.1 20": io.ErrUnexpectedEOF, "HTTP/1.1 100 C\r\nHost": io.EOF} {
		err := AwaitFinal(bufio.NewReader(strings.NewReader(text)))
		var invalid *InvalidError
		assert.ErrorIs(t, err, want, "%q", text)
		assert.False(t, errors.As(err, &invalid))
	}
	err := AwaitFinal(bufio.NewReaderSize(strings.NewReader("HTTP/1.1 100 C\r\nLong: "+strings.Repeat("x", 5000)), 4096))
	assert.ErrorIs(t, err, bufio.ErrBufferFull, "a head without end is not read into memory")
}

func FuzzAwaitFinal(f *testing.F) {
	f.Add("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReader(strings.NewReader(text))
		if AwaitFinal(r) != nil {
			return
		}
		line, err := r.Peek(statusLineBytes)
		require.NoError(t, err)
		status, valid := parse(line)
		assert.True(t, valid && status >= 200 && status <= 599)
	})
}
