// Package httphead checks the status line of an HTTP response before a library reads the response. The libraries accept
// status codes and versions that are none: one reports the code 000 as 200.
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

// AwaitFinal returns once the head of a final response, of status 200 to 599, is next in r, of which it reads no byte. It
// discards interim responses before it. It returns an *InvalidError for other bytes and for 101, as no caller asks for
// another protocol, and otherwise the error of reading r.
func AwaitFinal(r *bufio.Reader) error {
	for range maxInterim + 1 {
		line, err := peekStatusLine(r)
		if err != nil {
			return err
		}
		status, valid := parse(line)
		if !valid || status == http.StatusSwitchingProtocols {
			return &InvalidError{string(line)}
		}
		if status >= finalStatus {
			return nil
		}
		if err := discardHead(r); err != nil {
			return err
		}
	}
	return &InvalidError{"a further interim response"}
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
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return line, err
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

// discardHead reads a head to its end. A line that is longer than the buffer of r is an error.
func discardHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("interim response: %w", err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}
