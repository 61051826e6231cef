package statement

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// ParseLeaving reports whether a header field states that the upstream leaves: one with the value 1.
func ParseLeaving(fields [][]byte) bool {
	return slices.ContainsFunc(fields, func(field []byte) bool { return strings.TrimSpace(string(field)) == "1" })
}

// Parse reads the fields of both statements of an answer; ok is false if neither can be read.
func Parse(limitFields, leavingFields [][]byte) (s Statement, ok bool) {
	s, ok = ParseLimit(limitFields)
	s.Leaving = ParseLeaving(leavingFields)
	return s, ok || s.Leaving
}

// ParseLimit reads the header fields in which an answer states a limit. No field means that it states none; of several, the
// lowest limit counts. ok is false if no field can be read: such an answer says nothing of the upstream.
func ParseLimit(fields [][]byte) (s Statement, ok bool) {
	if len(fields) == 0 {
		return Statement{}, true
	}
	for _, field := range fields {
		limit, err := strconv.ParseFloat(strings.TrimSpace(string(field)), 64)
		if err != nil && !math.IsInf(limit, 1) || math.IsNaN(limit) || limit < 0 {
			continue
		}
		limit = math.Min(limit, MaxLimit)
		if !ok || limit < s.Limit {
			s, ok = Statement{Limited: true, Limit: limit}, true
		}
	}
	return s, ok
}
