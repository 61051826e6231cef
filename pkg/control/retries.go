package control

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// retryWindow is the time over which retries are counted against requests. The stated
// bound of the retry budget uses the same window.
const retryWindow = 10 * time.Second

// retryUsage counts requests and retries by service over the window, in steps of 1 s.
type retryUsage struct {
	bySecond map[int64]retrySums
}

// retrySums are counts by service.
type retrySums map[string]*peerpb.RepeatCount

func (u *retryUsage) add(now time.Time, counts []*peerpb.RepeatCount) {
	if u.bySecond == nil {
		u.bySecond = map[int64]retrySums{}
	}
	if u.bySecond[now.Unix()] == nil {
		u.bySecond[now.Unix()] = retrySums{}
	}
	u.bySecond[now.Unix()].add(counts)
}

// sum returns the counts of the window by service and deletes older ones.
func (u *retryUsage) sum(now time.Time) retrySums {
	oldest := now.Add(-retryWindow).Unix()
	maps.DeleteFunc(u.bySecond, func(second int64, _ retrySums) bool { return second <= oldest })
	sums := retrySums{}
	for _, counts := range u.bySecond {
		sums.add(counts.list())
	}
	return sums
}

func (s retrySums) add(counts []*peerpb.RepeatCount) {
	for _, c := range counts {
		if s[c.GetService()] == nil {
			s[c.GetService()] = &peerpb.RepeatCount{Service: c.GetService()}
		}
		s[c.GetService()].Requests += c.GetRequests()
		s[c.GetService()].Repeats += c.GetRepeats()
	}
}

func (s retrySums) list() []*peerpb.RepeatCount {
	counts := make([]*peerpb.RepeatCount, 0, len(s))
	for _, service := range slices.Sorted(maps.Keys(s)) {
		counts = append(counts, s[service])
	}
	return counts
}
