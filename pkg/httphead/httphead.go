// Package httphead checks the heads of HTTP responses before a library reads them. The libraries accept status codes, versions
// and names of fields that are none: one reports the code 000 as 200, and passes on names with blanks.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// statusLineBytes is the length of a status line up to the byte behind its status code.
	statusLineBytes = len("HTTP/1.1 200 ")
	// maxBlankBytes bounds the line breaks in front of a status line.
	maxBlankBytes = 4
	// maxInterim bounds the interim responses before the final one.
	maxInterim = 8
	// finalStatus and maxStatus bound the status codes of final responses.
	finalStatus, maxStatus = 200, 599
)

// InvalidError means that bytes at the place of a response are none in HTTP/1.1.
type InvalidError struct {
	// Line is the beginning of what was received.
	Line string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%q begins no HTTP/1.1 response; check what listens at the address", e.Line)
}

// AwaitFinal returns once the whole head of a final response, of status 200 to 599, is next in r, of which it reads no byte. It
// discards interim responses before it. It returns
//   - an *InvalidError for bytes that begin no response, and for 101, as no caller asks for another protocol;
//   - a *FieldError for a line of a head, also of an interim one, that is no field line;
//   - ErrFraming for a final head whose body has no certain end;
//   - bufio.ErrBufferFull for a final head that is longer than the buffer of r;
//   - otherwise the error of reading r.
func AwaitFinal(r *bufio.Reader) error {
	_, err := awaitFinal(r)
	return err
}

// finalHead describes the head of a final response.
type finalHead struct {
	// bytes is its length.
	bytes int
	// chunked is true if it states a transfer encoding, of which the libraries accept chunks only.
	chunked bool
}

func awaitFinal(r *bufio.Reader) (finalHead, error) {
	for range maxInterim + 1 {
		line, err := peekStatusLine(r)
		if err != nil {
			return finalHead{}, err
		}
		status, valid := parse(line)
		if !valid || status == http.StatusSwitchingProtocols {
			return finalHead{}, &InvalidError{string(line)}
		}
		if status >= finalStatus {
			return peekHead(r)
		}
		if err := discardHead(r); err != nil {
			return finalHead{}, fmt.Errorf("interim response: %w", err)
		}
	}
	return finalHead{}, &InvalidError{"a further interim response"}
}

// peekStatusLine returns the first bytes of a status line, behind line breaks.
func peekStatusLine(r *bufio.Reader) ([]byte, error) {
	for range maxBlankBytes {
		first, err := r.Peek(1)
		if err != nil {
			return nil, err
		}
		if first[0] != '\r' && first[0] != '\n' {
			break
		}
		if _, err := r.Discard(1); err != nil {
			return nil, err
		}
	}
	line, err := r.Peek(statusLineBytes)
	return line, insideHead(err)
}

// insideHead returns the error of reading r, where the end of r is unexpected.
func insideHead(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parse returns the status code of a status line in HTTP/1.0 or HTTP/1.1.
func parse(line []byte) (status int, valid bool) {
	rest, valid := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !valid || (rest[0] != '0' && rest[0] != '1') || rest[1] != ' ' {
		return 0, false
	}
	for _, digit := range rest[2:5] {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = 10*status + int(digit-'0')
	}
	return status, bytes.IndexByte([]byte(" \r\n"), rest[5]) >= 0 && status >= http.StatusContinue && status <= maxStatus
}

// peekHead waits for the whole head that is next in r, whose status line was checked, and checks its field lines.
func peekHead(r *bufio.Reader) (finalHead, error) {
	statusLine, err := peekLine(r, 0)
	if err != nil {
		return finalHead{}, insideHead(err)
	}
	oldVersion := bytes.HasPrefix(statusLine, []byte("HTTP/1.0"))
	head := finalHead{bytes: len(statusLine) + 1}
	var fields fieldLines
	for end := false; !end; {
		line, err := peekLine(r, head.bytes)
		if err != nil {
			return finalHead{}, insideHead(err)
		}
		if end, err = fields.check(line); err != nil {
			return finalHead{}, err
		}
		head.bytes += len(line) + 1
	}
	head.chunked = fields.transferEncoding
	if head.chunked && (oldVersion || fields.contentLength) {
		return finalHead{}, ErrFraming
	}
	return head, nil
}

// peekLine waits for the line that begins behind the first bytes of r, and returns it without its line feed.
func peekLine(r *bufio.Reader, begin int) ([]byte, error) {
	searched := begin
	for {
		buffered, _ := r.Peek(r.Buffered())
		if n := bytes.IndexByte(buffered[searched:], '\n'); n >= 0 {
			return buffered[begin : searched+n], nil
		}
		searched = len(buffered)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// discardHead reads a head to its end and checks its field lines. A line that is longer than the buffer of r is an error.
func discardHead(r *bufio.Reader) error {
	if _, err := r.ReadSlice('\n'); err != nil {
		return err
	}
	var fields fieldLines
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if end, err := fields.check(line[:len(line)-1]); end || err != nil {
			return err
		}
	}
}
