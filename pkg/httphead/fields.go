package httphead

import (
	"bytes"
	"errors"
	"fmt"
)

// maxQuotedBytes bounds what an error quotes of a line.
const maxQuotedBytes = 64

// FieldError means that a line of a head or of a trailer section is no field line: the name in front of its colon is no token
// (RFC 9110, 5.6.2).
type FieldError struct {
	// Line is the beginning of the line; in a trailer, of its last piece that was received.
	Line string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%q is no field line; its name must be a token (RFC 9110, 5.6.2)", e.Line)
}

// newFieldError returns the error for the line at the beginning of text.
func newFieldError(text []byte) *FieldError {
	line, _, _ := bytes.Cut(text[:min(len(text), maxQuotedBytes)], []byte("\n"))
	return &FieldError{string(bytes.TrimSuffix(line, []byte("\r")))}
}

// isTokenByte holds the bytes of which tokens consist.
var isTokenByte = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}()

var transferEncoding, contentLength = []byte("Transfer-Encoding"), []byte("Content-Length")

// ErrFraming means that a response states a transfer encoding beside a length, or in HTTP/1.0: its readers may differ about where
// the body ends (RFC 9112, 6.1 and 6.3).
var ErrFraming = errors.New("the response states a transfer encoding beside a length or in HTTP/1.0; check what listens at the address")

// fieldLines checks the field lines of one head in their order.
type fieldLines struct {
	// begun is true after the first field line: lines that begin with a blank continue the one before them.
	begun bool
	// transferEncoding and contentLength are true after a field line of that name.
	transferEncoding, contentLength bool
}

// check takes the next line, without its line feed. It returns true for the empty line at the end of the head, and a *FieldError
// for a line that is no field line.
func (f *fieldLines) check(line []byte) (end bool, err error) {
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	if len(line) == 0 {
		return true, nil
	}
	if f.begun && (line[0] == ' ' || line[0] == '\t') {
		return false, nil
	}
	length := 0
	for length < len(line) && isTokenByte[line[length]] {
		length++
	}
	if length == 0 || length == len(line) || line[length] != ':' {
		return false, newFieldError(line)
	}
	f.begun = true
	switch {
	case length == len(transferEncoding) && bytes.EqualFold(line[:length], transferEncoding):
		f.transferEncoding = true
	case length == len(contentLength) && bytes.EqualFold(line[:length], contentLength):
		f.contentLength = true
	}
	return false, nil
}

// CheckFields returns a *FieldError if one of the field lines is none. They end with an empty line or with the text.
func CheckFields(text []byte) error {
	var fields fieldLines
	for len(text) > 0 {
		line, rest, _ := bytes.Cut(text, []byte("\n"))
		if end, err := fields.check(line); end || err != nil {
			return err
		}
		text = rest
	}
	return nil
}
