package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// requestPrefix distinguishes the identifiers of whole requests from those of prompt parts.
	requestPrefix = "request:"
	// requestHashBytes is the length of the hash in the identifier of a whole request.
	requestHashBytes = 16
)

// RequestContent returns the identifier of a whole request. Two requests have the same one if they
// come from the same client account with the same method, host, request target and body. Without an
// account, caller is the key that the client sent.
func RequestContent(caller, method, host, target string, body []byte) string {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{caller, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestHashBytes])
}

// IsRequest reports whether a content is a whole request, and not a prompt part.
func IsRequest(content string) bool { return strings.HasPrefix(content, requestPrefix) }
