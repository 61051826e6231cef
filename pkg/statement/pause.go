package statement

import (
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// MaxPause bounds the time for which an upstream may want no work; a longer one counts as this.
const MaxPause = 10 * time.Minute

const (
	// returnShare and maxReturnSpread bound the time after a pause by which nodes spread their return, as a share of the pause and
	// absolutely.
	returnShare     = 0.1
	maxReturnSpread = 500 * time.Millisecond
)

// ParseRetryAfter reads the Retry-After fields of a 503 in seconds, with a fraction; the longest one counts. Fields that are no number,
// negative, or a date state nothing. ok is false if none does.
func ParseRetryAfter(fields [][]byte) (d time.Duration, ok bool) {
	for _, field := range fields {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(string(field)), 64)
		if err != nil && !math.IsInf(seconds, 1) || math.IsNaN(seconds) || seconds < 0 {
			continue
		}
		stated := time.Duration(math.Min(seconds, MaxPause.Seconds()) * float64(time.Second))
		d, ok = max(d, stated), true
	}
	return d, ok
}

// Pauses are the times for which upstreams want no work of this node, as they stated in a 503 with Retry-After. They are not safe for
// concurrent use.
type Pauses struct {
	random *rand.Rand
	until  map[Incarnation]time.Time
}

// NewPauses returns no pauses. The random source spreads the return of several nodes to an upstream.
func NewPauses(random *rand.Rand) *Pauses {
	return &Pauses{random: random, until: map[Incarnation]time.Time{}}
}

// Begin records that an upstream wants no work for a time. A pause does not end before one that was stated earlier. It reports whether
// the upstream was not paused before.
func (p *Pauses) Begin(now time.Time, upstream Incarnation, d time.Duration) (began bool) {
	if d <= 0 {
		return false
	}
	before := p.until[upstream]
	if end := now.Add(d); end.After(before) {
		spread := math.Min(returnShare*float64(d), float64(maxReturnSpread))
		p.until[upstream] = end.Add(time.Duration(p.random.Float64() * spread))
	}
	return !now.Before(before)
}

// Until returns when the pause of an upstream ends; false if it has none.
func (p *Pauses) Until(now time.Time, upstream Incarnation) (end time.Time, paused bool) {
	end, known := p.until[upstream]
	return end, known && now.Before(end)
}

// Count is the number of upstreams that are paused.
func (p *Pauses) Count(now time.Time) int {
	maps.DeleteFunc(p.until, func(_ Incarnation, end time.Time) bool { return !now.Before(end) })
	return len(p.until)
}
