package httphead

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// readChunks reads a body in chunks through a TrailerReader, of which begun bytes are read before Follow. It returns how the body
// ended for the library, and for the TrailerReader.
func readChunks(text string, begun, size int) (library, trailer error) {
	t := NewTrailerReader(&pieces{text, size})
	r := bufio.NewReader(io.MultiReader(strings.NewReader(text[:begun]), t))
	t.r.(*pieces).text = text[begun:]
	t.Follow([]byte(text[:begun]))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	resp.Header.SetContentLength(-1)
	if err := resp.ReadBody(r, 0); err != nil {
		return err, t.Err()
	}
	_, library = io.Copy(io.Discard, resp.BodyStream())
	return library, t.Err()
}

func TestOnlyValidTrailerFieldsPass(t *testing.T) {
	for text, valid := range map[string]bool{
		"0\r\n\r\n": true, "4\r\nbody\r\n0\r\n\r\n": true, "a;b=c\r\n0123456789\r\n00;x\r\nA: b\r\n c\r\nB:\r\n\r\n": true, "1  \r\n\n\r\n0\r\n\r\n": true,
		"10\r\n0\r\nBad Name: v\r\n\r\n0\r\n\r\n": true, "4\r\nbody\r\n0\r\n\r\nBad Name: v\r\n\r\n": true,
		"0\r\nBad Name: v\r\n\r\n": false, "4\r\nbody\r\n0\r\nBad : v\r\n\r\n": false, "1\r\nx\r\n0\r\nA: b\r\n c\r\nBad\x00: v\r\n\r\n": false,
		"0;x=y\r\nBad\r\n\r\n": false, "0\r\n: v\r\n\r\n": false, "0\r\n Bad: v\r\n\r\n": false, strings.Repeat("0", maxSizeDigits) + "\r\nBad Name: v\r\n\r\n": false, "0\r\n\rBad: v\r\n\r\n": false,
	} {
		for begun := range len(text) + 1 {
			for _, size := range []int{1, 4, len(text)} {
				library, trailer := readChunks(text, begun, size)
				var invalid *FieldError
				if valid {
					require.NoError(t, errors.Join(library, trailer), "%q from %d in pieces of %d", text, begun, size)
				} else {
					require.ErrorAs(t, trailer, &invalid, "%q from %d in pieces of %d", text, begun, size)
				}
			}
		}
	}
}

// Chunks that the library rejects are no matter of their trailer.
func TestInvalidChunksAreNoInvalidTrailer(t *testing.T) {
	for _, text := range []string{"", "4\r\nbo", "x\r\nBad Name: v\r\n\r\n", "-1\r\nx\r\n0\r\n\r\n", "\r\nBad\r\n", strings.Repeat("f", 17) + "\r\nBad\r\n", strings.Repeat("0", maxSizeDigits+1) + "\r\nBad Name: v\r\n\r\n", "4\r\nbody\r\n", "0\r\nGood: v\r\n"} {
		library, trailer := readChunks(text, 0, len(text)+1)
		assert.Error(t, library, "%q", text)
		assert.NoError(t, trailer, "%q", text)
	}
}

func FuzzTrailerReader(f *testing.F) {
	f.Add("4;x=y\r\nbody\r\n0\r\nA: b\r\n c\r\nBad Name: v\r\n\r\n", uint(3))
	f.Fuzz(func(t *testing.T, text string, begun uint) {
		whole := errors.Join(readChunks(text, 0, len(text)+1))
		inPieces := errors.Join(readChunks(text, int(begun%uint(len(text)+1)), 1+int(begun%7)))
		if assert.Equal(t, whole == nil, inPieces == nil, "%v, in pieces %v", whole, inPieces); whole != nil {
			return
		}
		// The library accepted the chunks, so that the trailer is behind the last of them.
		r := bufio.NewReader(strings.NewReader(text))
		for {
			line, err := r.ReadString('\n')
			require.NoError(t, err)
			size := 0
			for size < len(line) && strings.IndexByte("0123456789abcdefABCDEF", line[size]) >= 0 {
				size++
			}
			if strings.Trim(line[:size], "0") == "" {
				break
			}
			length := 0
			for _, c := range []byte(line[:size]) {
				length = length<<4 | int(hexDigits[c])
			}
			_, err = r.Discard(length + len("\r\n"))
			require.NoError(t, err)
		}
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		assertValidFields(t, string(rest))
	})
}

// Guards clients of the library that use Dial: the command line, the demo and the benches.
func TestClientsGetNoResponseWithInvalidFields(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for response, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody": true, "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + chunked + "A: b\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody": true, "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 4\r\n\r\nbody": false, "HTTP/1.1 200 OK\r\nBad : v\r\nContent-Length: 4\r\n\r\nbody": false,
		"HTTP/1.1 103 X\r\nBad\x00: b\r\n\r\n" + chunked + "\r\n": false, chunked + "Bad Name: v\r\n\r\n": false, chunked + "A: b\r\nBad : v\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding :\r\n chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": false,
	} {
		for _, stream := range []bool{false, true} {
			address, accepted := serve(t, response)
			client := &fasthttp.Client{Dial: Dial(nil), StreamResponseBody: stream, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
			const calls = 3
			for range calls {
				err := get(client, address)
				require.Equal(t, valid, err == nil, "%q: %v", response, err)
			}
			if !valid {
				assert.EqualValues(t, calls, accepted.Load(), "%q: its connection is not used again", response)
			}
		}
	}
}

// serve sends the same response to each request. It returns its address and the number of accepted connections.
func serve(t *testing.T, response string) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted.Add(1)
			go func() {
				r := bufio.NewReader(conn)
				for _, err := http.ReadRequest(r); err == nil; _, err = http.ReadRequest(r) {
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

func get(client *fasthttp.Client, address string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address)
	if err := client.Do(req, resp); err != nil {
		return err
	}
	return errors.Join(resp.BodyWriteTo(io.Discard), resp.CloseBodyStream())
}
