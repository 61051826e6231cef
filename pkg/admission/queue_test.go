package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func item(id uint64, account string, worth int) *Item {
	return &Item{ID: id, Account: account, Weight: 1, Worth: worth, Tokens: 10, Deadline: start.Add(time.Duration(id) * time.Second)}
}

// drain takes n requests in order and returns how many each account had.
func drain(q *Queue, n int) map[string]int {
	served := map[string]int{}
	for range n {
		long := q.LongFirst()
		it := q.Head(long)
		if it == nil {
			it = q.Head(!long)
		}
		q.Take(it)
		served[it.Account]++
	}
	return served
}

func TestHeadOrdersByWorthThenDeadline(t *testing.T) {
	q := New(Options{Limit: 10})
	q.Push(item(3, "a", 0))
	q.Push(item(1, "a", 0))
	q.Push(item(9, "a", 5))
	var order []uint64
	for q.Len() > 0 {
		it := q.Head(false)
		order = append(order, it.ID)
		q.Take(it)
	}
	assert.Equal(t, []uint64{9, 1, 3}, order)
}

func fairShare(opts Options) map[string]int {
	opts.Limit = 200
	q := New(opts)
	for i := range uint64(60) {
		light, heavy := item(2*i, "light", 0), item(2*i+1, "heavy", 0)
		heavy.Weight = 3
		q.Push(light)
		q.Push(heavy)
	}
	return drain(q, 40)
}

func TestAccountsShareByWeight(t *testing.T) {
	assert.Equal(t, map[string]int{"heavy": 30, "light": 10}, fairShare(Options{}))
	assert.NotEqual(t, map[string]int{"heavy": 30, "light": 10}, fairShare(Options{ignoreWeights: true}), "the injected fault must be detected")
}

// countLowWorthServed counts the requests of low worth that are served while
// requests of high worth keep arriving.
func countLowWorthServed(opts Options) int {
	opts.Limit = 1000
	q := New(opts)
	for i := range uint64(20) {
		q.Push(item(i, "low", 0))
	}
	low := 0
	for i := uint64(100); i < 900; i++ {
		q.Push(item(i, "high", 1))
		low += drain(q, 1)["low"]
	}
	return low
}

func TestLowWorthIsNotStarved(t *testing.T) {
	assert.GreaterOrEqual(t, countLowWorthServed(Options{}), 15)
	assert.Zero(t, countLowWorthServed(Options{strictWorth: true}), "the injected fault must be detected")
}

func TestLongRequestsKeepTheirShare(t *testing.T) {
	q := New(Options{Limit: 1000})
	for i := range uint64(100) {
		short, long := item(2*i, "short", 0), item(2*i+1, "long", 0)
		long.Long = true
		q.Push(short)
		q.Push(long)
	}
	served := drain(q, 100)
	assert.InDelta(t, 100*LongShare, served["long"], 2)
}

func TestFullQueueEvictsLowestWorth(t *testing.T) {
	q := New(Options{Limit: 2})
	require.Nil(t, q.Push(item(1, "a", 1)))
	require.Nil(t, q.Push(item(2, "a", 2)))
	refused := q.Push(item(3, "a", 3))
	require.NotNil(t, refused)
	assert.Equal(t, uint64(1), refused.ID)
	refused = q.Push(item(4, "a", 0))
	assert.Equal(t, uint64(4), refused.ID)
	assert.Equal(t, 2, q.Len())
}

func TestResumedRequestsPrecedeNewOfSameWorth(t *testing.T) {
	q := New(Options{Limit: 10})
	q.Push(item(1, "a", 1))
	resumed := item(9, "b", 1)
	resumed.Resumed = true
	q.Push(resumed)
	assert.Equal(t, uint64(9), q.Head(false).ID)
	assert.Zero(t, q.Ahead(resumed))
}

func TestAheadCountsWorthAndFairShare(t *testing.T) {
	q := New(Options{Limit: 20})
	for i := range uint64(4) {
		q.Push(item(i, "busy", 1))
	}
	q.Push(item(10, "busy", 2))
	cases := []struct {
		account string
		worth   int
		want    float64
	}{{"busy", 3, 0}, {"busy", 1, 50}, {"busy", 0, 50}, {"other", 1, 10}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.account, c.worth), func(t *testing.T) {
			assert.InDelta(t, c.want, q.Ahead(item(99, c.account, c.worth)), 0.001)
		})
	}
}

func TestSizesLearnMedianDespiteStragglers(t *testing.T) {
	s := NewSizes()
	assert.InDelta(t, 30, s.Predict("a", "c", 30).Median, 0, "the limit of the request applies before any size was observed")
	for i := range 2000 {
		tokens := 60
		if i%33 == 0 {
			tokens = 1200
		}
		s.Observe("a", "c", tokens)
	}
	p := s.Predict("a", "c", 4096)
	assert.InDelta(t, 60, p.Median, 6)
	assert.Greater(t, p.Mean, 70.0)
	assert.InDelta(t, 20, s.Predict("a", "c", 20).Median, 0)
}
