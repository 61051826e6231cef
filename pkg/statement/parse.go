package statement

import (
	"math"
	"strconv"
	"strings"
)

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
