package httphead

import (
	"bufio"
	"errors"
	"io"
	"regexp"
	"strconv"
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

// sound is a head whose fields have unusual forms that HTTP allows.
const sound = "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nA:\r\nB:b: c d\r\nC: folded\r\n\tvalue:\r\n \r\nD: \xc3\xa4\r\n\r\n"

func TestOnlyValidFieldNamesPass(t *testing.T) {
	for _, line := range []string{"Bad Name: v", "Bad : v", "Bad\t: v", "Bad\x00: v", "\x7fBad: v", "B\rad: v", "B\xc3\xa4d: v", "Bad(: v", "\"Bad\": v", ": v", "Bad", " Bad: v", "\tBad: v"} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n", "HTTP/1.1 200 OK\n" + line + "\n\n",
			"HTTP/1.1 103 X\r\n" + line + "\r\n\r\n" + sound,
		} {
			for _, size := range []int{1, len(text)} {
				var invalid *FieldError
				err := AwaitFinal(bufio.NewReader(&pieces{text, size}))
				require.ErrorAs(t, err, &invalid, "%q", text)
				assert.Contains(t, invalid.Error(), strconv.Quote(line))
			}
		}
	}
	var invalid *FieldError
	require.ErrorAs(t, AwaitFinal(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nA: b\r\n"+strings.Repeat("x ", 100)+"\n"))), &invalid)
	assert.Len(t, invalid.Line, maxQuotedBytes)
}

// Guards against a body whose end its readers see in different places.
func TestAmbiguousFramingDoesNotPass(t *testing.T) {
	for head, ambiguous := range map[string]bool{
		"HTTP/1.1 200 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked": true, "HTTP/1.1 200 X\r\ntransfer-encoding:\r\n chunked\r\nCONTENT-LENGTH: 4": true,
		"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked": true, "HTTP/1.0 200 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked": true,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked": false, "HTTP/1.0 200 X\r\nContent-Length: 4": false, "HTTP/1.1 200 X\r\nA: b": false,
		"HTTP/1.1 103 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 X": false,
	} {
		err := AwaitFinal(bufio.NewReader(strings.NewReader(head + "\r\n\r\n")))
		assert.Equal(t, ambiguous, errors.Is(err, ErrFraming), "%q: %v", head, err)
		assert.True(t, ambiguous || err == nil)
	}
}

// Guards against a check that changes what the reader of a response finds, or that needs more of it than there is.
func TestSoundHeadsPassInPieces(t *testing.T) {
	const buffer = 4 << 10
	full := "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("v", buffer-len("HTTP/1.1 200 OK\r\nLong: \r\n\r\n")) + "\r\n\r\n"
	for _, head := range []string{sound, full, "HTTP/1.0 404 \n\n", "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 200 any: reason\tof\x01 any kind\r\nA: b\r\n\r\n"} {
		for _, interim := range []string{"", "HTTP/1.1 103 X\r\nA: b\r\n c d\r\n\r\n", "HTTP/1.1 103 X\r\n" + strings.Repeat("A: b\r\n", buffer) + "\r\n"} {
			for _, size := range []int{1, 3, buffer} {
				r := bufio.NewReaderSize(&pieces{interim + head, size}, buffer)
				require.NoError(t, AwaitFinal(r), "%q", head)
				rest, err := io.ReadAll(r)
				require.NoError(t, err)
				assert.Equal(t, head, string(rest))
			}
		}
	}
	err := AwaitFinal(bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("v", buffer)), buffer))
	assert.ErrorIs(t, err, bufio.ErrBufferFull, "a head without end is not read into memory")
	for cut := range len(sound) {
		assert.Error(t, AwaitFinal(bufio.NewReader(strings.NewReader(sound[:cut]))), "%q", sound[:cut])
	}
}

// pieces returns a few bytes of text a read.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

func BenchmarkAwaitFinal(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nCache-Control: no-cache\r\nServer: engine\r\n" +
		"Date: Mon, 07 Dec 2026 01:00:00 GMT\r\nMasticmount-Request-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
	source := strings.NewReader(head)
	r := bufio.NewReaderSize(source, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(head)
		r.Reset(source)
		if err := AwaitFinal(r); err != nil {
			b.Fatal(err)
		}
	}
}

// fieldLine is a field line, with the lines that continue it.
var fieldLine = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\n]*\n([ \t][^\n]*\n)*")

// assertValidFields checks that a text begins with field lines and an empty line.
func assertValidFields(t *testing.T, text string) {
	t.Helper()
	for match := fieldLine.FindString(text); match != ""; match = fieldLine.FindString(text) {
		text = text[len(match):]
	}
	assert.True(t, strings.HasPrefix(text, "\n") || strings.HasPrefix(text, "\r\n"), "%q", text)
}

func FuzzAwaitFinal(f *testing.F) {
	f.Add("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Add("HTTP/1.1 103 C\r\nA: b\r\n\r\n" + sound)
	f.Add("HTTP/1.1 200 OK\r\nBad Name: v\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, inPieces := bufio.NewReader(strings.NewReader(text)), bufio.NewReader(&pieces{text, 1})
		err := AwaitFinal(r)
		piecesErr := AwaitFinal(inPieces)
		if assert.Equal(t, err == nil, piecesErr == nil, "%v, in pieces %v", err, piecesErr); err != nil {
			return
		}
		line, err := r.Peek(statusLineBytes)
		require.NoError(t, err)
		status, valid := parse(line)
		assert.True(t, valid && status >= 200 && status <= 599)
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		restInPieces, err := io.ReadAll(inPieces)
		require.NoError(t, err)
		assert.Equal(t, string(rest), string(restInPieces))
		assert.True(t, strings.HasSuffix(text, string(rest)))
		_, fields, _ := strings.Cut(string(rest), "\n")
		assertValidFields(t, fields)
	})
}
