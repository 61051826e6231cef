package control

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// repeatWindow is the time over which requests and repeats are set against each other:
// that of the users' bound.
const repeatWindow = 10 * time.Second

// repeatUsage counts requests and repeats by service over the window, in steps of a
// second.
type repeatUsage struct {
	bySecond map[int64]repeatSums
}

// repeatSums are counts by service.
type repeatSums map[string]*peerpb.RepeatCount

func (u *repeatUsage) add(now time.Time, counts []*peerpb.RepeatCount) {
	if u.bySecond == nil {
		u.bySecond = map[int64]repeatSums{}
	}
	if u.bySecond[now.Unix()] == nil {
		u.bySecond[now.Unix()] = repeatSums{}
	}
	u.bySecond[now.Unix()].add(counts)
}

// sum returns the counts of the window, ordered by service.
func (u *repeatUsage) sum(now time.Time) repeatSums {
	oldest := now.Add(-repeatWindow).Unix()
	maps.DeleteFunc(u.bySecond, func(second int64, _ repeatSums) bool { return second <= oldest })
	sums := repeatSums{}
	for _, counts := range u.bySecond {
		sums.add(counts.list())
	}
	return sums
}

func (s repeatSums) add(counts []*peerpb.RepeatCount) {
	for _, c := range counts {
		if s[c.GetService()] == nil {
			s[c.GetService()] = &peerpb.RepeatCount{Service: c.GetService()}
		}
		s[c.GetService()].Requests += c.GetRequests()
		s[c.GetService()].Repeats += c.GetRepeats()
	}
}

func (s repeatSums) list() []*peerpb.RepeatCount {
	counts := make([]*peerpb.RepeatCount, 0, len(s))
	for _, service := range slices.Sorted(maps.Keys(s)) {
		counts = append(counts, s[service])
	}
	return counts
}
