package httphead

import (
	"bytes"
	"fmt"
	"io"
)

// TrailerReader passes on what it reads from a connection, and checks the names of the trailer fields behind a body in chunks.
// It buffers nothing: the reader that decodes the chunks is above it, and bounds the length of what it reads.
type TrailerReader struct {
	r    io.Reader
	body chunkedBody
	err  error
}

// NewTrailerReader returns a reader of r that checks nothing before Follow.
func NewTrailerReader(r io.Reader) *TrailerReader { return &TrailerReader{r: r} }

// Read implements io.Reader. It also returns the bytes of invalid fields.
func (t *TrailerReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	t.scan(p[:n])
	return n, err
}

// Follow begins to check a body in chunks. begun are the bytes of it that were already read.
func (t *TrailerReader) Follow(begun []byte) {
	t.body, t.err = chunkedBody{state: inSize}, nil
	t.scan(begun)
}

// Stop ends the check of a body.
func (t *TrailerReader) Stop() { t.body, t.err = chunkedBody{}, nil }

// Err returns an error that wraps a *FieldError once an invalid trailer field of the body was read.
func (t *TrailerReader) Err() error { return t.err }

func (t *TrailerReader) scan(p []byte) {
	if err := t.body.scan(p); err != nil {
		t.err = fmt.Errorf("trailer: %w", err)
	}
}

// maxSizeDigits bounds the length of a chunk's size, so that it does not overflow.
const maxSizeDigits = 15

// chunkState is the position in a body in chunks.
type chunkState uint8

const (
	// notFollowed is the state behind the body, and in a body whose chunks are invalid. The reader of the body finds the latter.
	notFollowed chunkState = iota
	inSize
	// inExtension is behind the digits of a chunk's size.
	inExtension
	// inData is in a chunk's data or the line break behind it.
	inData
	// atField is at the beginning of a line behind the last chunk.
	atField
	// inLineBreak is behind the first byte of the empty line that ends the body.
	inLineBreak
	inName
	inValue
)

// chunkedBody is the state of the check of a body in chunks. The zero value follows none.
type chunkedBody struct {
	state chunkState
	// digits is the number of digits of the current chunk's size.
	digits int
	// left is the size of the current chunk; in inData what is left of it, with the line break.
	left int
	// begun is true behind the first trailer field.
	begun bool
}

// scan follows the next bytes of the body. It returns a *FieldError once they belong to an invalid trailer field, and ignores
// all bytes behind that or behind the body.
func (b *chunkedBody) scan(p []byte) error {
	line := p
	for len(p) > 0 && b.state != notFollowed {
		switch b.state {
		case inSize, inExtension:
			p = b.scanSize(p)
		case inData:
			n := min(b.left, len(p))
			p, b.left = p[n:], b.left-n
			if b.left == 0 {
				b.state, b.digits = inSize, 0
			}
		case inValue:
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return nil
			}
			p, b.state = p[end+1:], atField
		default:
			if b.state == atField {
				line = p
			}
			if !b.scanName(p[0]) {
				b.state = notFollowed
				return newFieldError(line)
			}
			p = p[1:]
		}
	}
	return nil
}

// scanSize follows the line with a chunk's size, and returns the bytes that are left.
func (b *chunkedBody) scanSize(p []byte) []byte {
	if b.state == inSize {
		n := 0
		for n < len(p) && hexDigits[p[n]] != notHex {
			b.left = b.left<<4 | int(hexDigits[p[n]])
			n++
		}
		b.digits += n
		if b.digits > maxSizeDigits || n < len(p) && b.digits == 0 {
			b.state = notFollowed
			return nil
		}
		if n == len(p) {
			return nil
		}
		b.state, p = inExtension, p[n:]
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return nil
	}
	if b.left == 0 {
		b.state = atField
	} else {
		b.state, b.left = inData, b.left+len("\r\n")
	}
	return p[end+1:]
}

// scanName follows the next byte of a line behind the last chunk up to its colon. It returns false if the line is no field line.
func (b *chunkedBody) scanName(c byte) bool {
	switch {
	case b.state == inLineBreak:
		b.state = notFollowed
		return c == '\n'
	case isTokenByte[c]:
		b.state = inName
	case b.state == inName:
		b.state, b.begun = inValue, true
		return c == ':'
	case c == '\r':
		b.state = inLineBreak
	case c == '\n':
		b.state = notFollowed
	default:
		b.state = inValue
		return b.begun && (c == ' ' || c == '\t')
	}
	return true
}

// notHex stands for bytes that are no hexadecimal digits.
const notHex = 16

// hexDigits holds the values of hexadecimal digits.
var hexDigits = func() (table [256]byte) {
	for c := range table {
		table[c] = notHex
	}
	for value, c := range []byte("0123456789abcdef") {
		table[c] = byte(value)
		table[bytes.ToUpper([]byte{c})[0]] = byte(value)
	}
	return table
}()
