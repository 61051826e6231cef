package document

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// maxContentBytes bounds a document's content.
const maxContentBytes = 16 << 20

var errContentSize = errors.New("the document's content is larger than 16 MiB")

// Pack compresses a document's content, as it is sent to every node and is repetitive.
func Pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack the document: %w", err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("pack the document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack the document: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack decompresses a document's content and refuses more than 16 MiB.
func Unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxContentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack the document: %w", err)
	}
	if len(content) > maxContentBytes {
		return nil, errContentSize
	}
	return content, nil
}

// Decoder decodes the content of a document.
type Decoder func(content []byte) (*Document, error)

// DecodePacked decodes content that was compressed by Pack.
func (d Decoder) DecodePacked(packed []byte) (*Document, error) {
	content, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	return d(content)
}
