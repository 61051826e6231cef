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
	// servicePrefix begins what stands for all requests of a service. When none of them succeeds
	// between crashes, it explains them, and no content is quarantined.
	servicePrefix = "service:"
	// partPrefix protects prompt parts that look like one of the above.
	partPrefix = "part:"
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

// Contents returns the contents of a request: the identifier of the whole request, unless it is
// empty, and its prompt parts.
func Contents(request string, parts []string) []string {
	parts = parts[:min(len(parts), maxParts)]
	contents := make([]string, 0, len(parts)+1)
	if request != "" {
		contents = append(contents, request)
	}
	for _, part := range parts {
		if part == "" {
			continue
		}
		if IsRequest(part) || strings.HasPrefix(part, servicePrefix) || strings.HasPrefix(part, partPrefix) {
			part = partPrefix + part
		}
		contents = append(contents, shortened(part))
	}
	return contents
}

// anyRequestOf returns what all requests of a service have in common; of all requests where the
// service is not known.
func anyRequestOf(service string) string {
	if service == "" {
		return ""
	}
	return servicePrefix + service
}

func isAnyRequest(content string) bool {
	return content == "" || strings.HasPrefix(content, servicePrefix)
}

// isPart reports whether a content is a prompt part.
func isPart(content string) bool { return !IsRequest(content) && !isAnyRequest(content) }
