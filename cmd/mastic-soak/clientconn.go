package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientConn is a caller's persistent connection. It parses answers itself, so that no
// library repairs or hides malformed bytes.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// timeout bounds each read and write.
	timeout time.Duration
}

// protocolError reports bytes that are not a valid HTTP/1.1 answer.
type protocolError struct{ detail string }

func (e *protocolError) Error() string { return "not a valid HTTP/1.1 answer: " + e.detail }

func protocolErrorOf(err error) (*protocolError, bool) {
	var p *protocolError
	return p, errors.As(err, &p)
}

// errClientDisconnect is returned by a body's consumer to stop reading.
var errClientDisconnect = errors.New("client disconnected")

// promptTokens is the prompt size that callers state.
const promptTokens = 50

// tokenCounts returns the X-Token-Counts header of a request for a stream.
func tokenCounts(total int) string { return fmt.Sprintf("%d,%d", promptTokens, total) }

// maxChunk bounds a chunk's length in bytes; entries send much shorter ones.
const maxChunk = 1 << 20

func dialClient(address string, timeout time.Duration) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return newClientConn(conn, timeout), nil
}

func newClientConn(conn net.Conn, timeout time.Duration) *clientConn {
	c := &clientConn{conn: conn, timeout: timeout}
	c.reader = bufio.NewReader(deadlineReader{c})
	return c
}

// deadlineReader sets a new read deadline before each read.
type deadlineReader struct{ c *clientConn }

func (r deadlineReader) Read(p []byte) (int, error) {
	if err := r.c.conn.SetReadDeadline(time.Now().Add(r.c.timeout)); err != nil {
		return 0, err
	}
	return r.c.conn.Read(p)
}

func (c *clientConn) close() { _ = c.conn.Close() }

// send writes a request for a stream.
func (c *clientConn) send(a *attempt) error {
	body, extra := prompt(a.request), ""
	if a.kind.model != "" {
		extra = fmt.Sprintf("X-Model: %s\r\nX-Token-Counts: %s\r\n", a.kind.model, tokenCounts(a.total))
		extra += promptPrefix(a.request, a.kind.model, a.crashing)
	}
	if a.after > 0 {
		extra += fmt.Sprintf("Last-Event-Id: %d\r\n", a.after*a.kind.step)
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.conn, "POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%sX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		a.kind.path, a.total, soakHost, a.request, extra, streamTimeout.Milliseconds(), len(body), body)
	return err
}

// answerHead is the status and the header of an answer.
type answerHead struct {
	status int
	header http.Header
}

// readHead reads the status line and the header of the next answer.
func (c *clientConn) readHead() (answerHead, error) {
	line, err := c.readLine()
	if err != nil {
		return answerHead{}, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if version != "HTTP/1.1" || err != nil || status < 200 || status > 599 {
		return answerHead{}, &protocolError{fmt.Sprintf("status line %q", line)}
	}
	header := http.Header{}
	for {
		line, err := c.readLine()
		if err != nil {
			return answerHead{}, err
		}
		if line == "" {
			return answerHead{status, header}, nil
		}
		name, value, named := strings.Cut(line, ":")
		if !named || name == "" || strings.TrimSpace(name) != name {
			return answerHead{}, &protocolError{fmt.Sprintf("header line %q", line)}
		}
		header.Add(name, strings.TrimSpace(value))
	}
}

// readLine reads a line and requires it to end with CR LF.
func (c *clientConn) readLine() (string, error) {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	text, terminated := strings.CutSuffix(line, "\r\n")
	if !terminated {
		return "", &protocolError{fmt.Sprintf("line %q", line)}
	}
	return text, nil
}

// readBody passes the bytes of an answer's body to consume as they arrive. It returns nil
// once the body is complete.
func (c *clientConn) readBody(h answerHead, consume func([]byte) error) error {
	if strings.EqualFold(h.header.Get("Transfer-Encoding"), "chunked") {
		return c.readChunks(consume)
	}
	length, err := strconv.ParseInt(h.header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return &protocolError{"an answer with neither chunks nor a length"}
	}
	return c.readBytes(length, consume)
}

func (c *clientConn) readChunks(consume func([]byte) error) error {
	for {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		length, err := strconv.ParseInt(line, 16, 64)
		if err != nil || length < 0 || length > maxChunk {
			return &protocolError{fmt.Sprintf("chunk length %q", line)}
		}
		if err := c.readBytes(length, consume); err != nil {
			return err
		}
		end, err := c.readLine()
		switch {
		case err != nil:
			return err
		case end != "":
			return &protocolError{fmt.Sprintf("%q after a chunk", end)}
		case length == 0:
			return nil
		}
	}
}

// readBytes passes the next length bytes to consume.
func (c *clientConn) readBytes(length int64, consume func([]byte) error) error {
	buf := make([]byte, min(length, linkBuffer))
	for length > 0 {
		n, err := c.reader.Read(buf[:min(length, int64(len(buf)))])
		if n > 0 {
			length -= int64(n)
			if err := consume(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil && length > 0 {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// unsolicited returns buffered bytes that arrived while no request was in flight. It ignores
// status 408, which an entry may send on an idle connection.
func (c *clientConn) unsolicited() string {
	n := c.reader.Buffered()
	if n == 0 {
		return ""
	}
	data, err := c.reader.Peek(n)
	if err != nil || strings.HasPrefix(string(data), fmt.Sprintf("HTTP/1.1 %d", http.StatusRequestTimeout)) {
		return ""
	}
	return string(data)
}
