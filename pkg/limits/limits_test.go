package limits

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

var errPartitioned = errors.New("node is partitioned")

// regionLog is an in-memory region log that nodes can be partitioned from.
type regionLog struct {
	mu          sync.Mutex
	machine     *state.Machine
	partitioned map[string]bool
	reports     int
}

func newRegionLog() *regionLog {
	l := &regionLog{machine: state.New(), partitioned: map[string]bool{}}
	l.putObject("account", `{"token_sha256":[]}`)
	return l
}

func (l *regionLog) propose(_ context.Context, cmd *peerpb.Command) (*peerpb.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned[cmd.GetShareReport().GetNodeId()] {
		return nil, errPartitioned
	}
	if cmd.GetShareReport() != nil {
		l.reports++
	}
	cmd.LeaderTimeMs = time.Now().UnixMilli()
	return l.machine.Apply(0, cmd), nil
}

func (l *regionLog) setPartitioned(node string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[node] = partitioned
}

// putObject sets the object of a kind for the account.
func (l *regionLog) putObject(kind, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	object, _ := l.machine.Config().Object("limit", "school")
	l.machine.Apply(0, &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: fmt.Sprint(l.machine.Revision()), Kind: kind, Name: "school", ExpectedRevision: object.Revision, Spec: []byte(spec),
	}}})
}

// node is a limiter with its renewer.
type node struct {
	limiter *Limiter
	stop    func()
}

func startNode(l *regionLog, id string) *node {
	n := &node{limiter: NewShared()}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { NewRenewer(n.limiter, id, 1, l.propose, zerolog.Nop()).Run(ctx) })
	n.stop = func() {
		cancel()
		background.Wait()
	}
	n.limiter.Configure(l.machine.Config())
	return n
}

// acquireAll acquires until the node refuses and returns the number of admitted
// requests.
func (n *node) acquireAll() int {
	for admitted := 0; ; admitted++ {
		if _, err := n.limiter.Acquire("school", time.Now()); err != nil {
			return admitted
		}
	}
}

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// stagger is the delay between the actions of the nodes, so that their reports reach
// the log in the same order on every run.
const stagger = 10 * time.Millisecond

// startNodes starts three nodes.
func startNodes(l *regionLog) []*node {
	var nodes []*node
	for _, id := range []string{"a1", "b1", "c1"} {
		nodes = append(nodes, startNode(l, id))
		advance(stagger)
	}
	return nodes
}

func stopNodes(nodes []*node) {
	for _, n := range nodes {
		n.stop()
	}
}

// acquireRepeatedly fills all nodes repeatedly for a duration and returns the
// number of admitted requests.
func acquireRepeatedly(nodes []*node, d time.Duration) (total int) {
	const round = 100 * time.Millisecond
	for range int(d / round) {
		for _, n := range nodes {
			total += n.acquireAll()
			advance(stagger)
		}
		advance(round - time.Duration(len(nodes))*stagger)
	}
	return total
}

// TestConcurrencyIsGlobal checks that three nodes together admit exactly the limit,
// that a raised limit takes effect within two seconds, and that the share of a
// partitioned node is not given to others while its requests may still run.
func TestConcurrencyIsGlobal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRegionLog()
		l.putObject("limit", `{"account":"school","concurrency":60}`)
		nodes := startNodes(l)
		assert.Equal(t, 60, acquireRepeatedly(nodes, 8*time.Second))

		l.putObject("limit", `{"account":"school","concurrency":90}`)
		for _, n := range nodes {
			n.limiter.Configure(l.machine.Config())
			advance(stagger)
		}
		assert.Equal(t, 30, acquireRepeatedly(nodes, 2*time.Second))

		l.setPartitioned("c1", true)
		advance(time.Minute)
		assert.Zero(t, acquireRepeatedly(nodes[:2], time.Second))
		stopNodes(nodes)
	})
}

// TestNewLimitIsNotEnforcedBeforeFirstShare checks that a limit set while nodes
// are running is not enforced on a node before the node has its share.
func TestNewLimitIsNotEnforcedBeforeFirstShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRegionLog()
		nodes := startNodes(l)
		advance(4 * time.Second)
		l.putObject("limit", `{"account":"school","concurrency":30}`)
		for _, n := range nodes {
			n.limiter.Configure(l.machine.Config())
			_, err := n.limiter.Acquire("school", time.Now())
			assert.NoError(t, err)
			advance(stagger)
		}
		advance(urgentInterval)
		for _, n := range nodes {
			assert.Equal(t, 9, n.acquireAll())
		}
		stopNodes(nodes)
	})
}

// TestRefusalsDoNotIncreaseReportRate checks that nodes at their limit send about
// one report a second each, although refusals ask for early reports.
func TestRefusalsDoNotIncreaseReportRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 60
		l := newRegionLog()
		l.putObject("limit", `{"account":"school","concurrency":9}`)
		nodes := startNodes(l)
		advance(10 * time.Second)
		before := l.reports
		for range seconds * 20 {
			for _, n := range nodes {
				n.acquireAll()
				advance(stagger)
			}
			advance(20 * time.Millisecond)
		}
		assert.LessOrEqual(t, l.reports-before, seconds*len(nodes)*5/4)
		stopNodes(nodes)
	})
}

// TestNewLimitIsEnforcedWithoutShareAfterGrace checks that a new limit is enforced
// after newLimitGrace on a node that gets no share.
func TestNewLimitIsEnforcedWithoutShareAfterGrace(t *testing.T) {
	limiter := NewShared()
	now := time.Unix(1000, 0)
	limiter.configureAt(now, state.EmptyConfig())
	limiter.configureAt(now, configOf(t, `{"account":"school","concurrency":4}`))
	_, err := limiter.Acquire("school", now)
	require.NoError(t, err)
	_, err = limiter.Acquire("school", now.Add(newLimitGrace))
	assert.True(t, fault.IsKind(err, fault.LimitReached))
}

// TestRateIsGlobal checks the global rate limit under overload of three nodes, one of
// which is partitioned halfway through.
func TestRateIsGlobal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			limit    = 60
			duration = 60
			tick     = 10 * time.Millisecond
		)
		l := newRegionLog()
		l.putObject("limit", fmt.Sprintf(`{"account":"school","requests_per_second":%d,"burst":%d}`, limit, limit))
		nodes := startNodes(l)
		advance(4 * time.Second)
		admitted := 0
		for i := range duration * int(time.Second/tick) {
			if i == duration/2*int(time.Second/tick) {
				l.setPartitioned("c1", true)
			}
			for _, n := range nodes {
				if release, err := n.limiter.Acquire("school", time.Now()); err == nil {
					admitted++
					release()
				}
			}
			advance(tick)
		}
		assert.LessOrEqual(t, admitted, limit*duration+limit+len(nodes))
		assert.GreaterOrEqual(t, admitted, limit*duration*8/10)
		stopNodes(nodes)
	})
}

// TestPartitionedNodeFallsBackToBaseShare checks that a partitioned node falls
// back to the base part of its share after the lease.
func TestPartitionedNodeFallsBackToBaseShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRegionLog()
		l.putObject("limit", `{"account":"school","concurrency":40}`)
		n := startNode(l, "a1")
		defer n.stop()
		advance(2 * time.Second)
		l.setPartitioned("a1", true)
		advance(9 * time.Second)
		assert.Equal(t, 20, n.acquireAll())
	})
}

// TestRefusalReportsRetryAfter checks the retry-after time against the bucket.
func TestRefusalReportsRetryAfter(t *testing.T) {
	limiter := New()
	now := time.Unix(1000, 0)
	limiter.configureAt(now, configOf(t, `{"account":"school","requests_per_second":0.5,"burst":1}`))
	_, err := limiter.Acquire("school", now)
	require.NoError(t, err)
	_, err = limiter.Acquire("school", now.Add(500*time.Millisecond))
	require.True(t, fault.IsKind(err, fault.LimitReached))
	assert.Equal(t, 1500*time.Millisecond, fault.From(err).RetryAfter)
	assert.Equal(t, fault.NotRun, fault.From(err).Outcome)
	_, err = limiter.Acquire("school", now.Add(2*time.Second))
	assert.NoError(t, err)
}

// TestLimitRemovedAndSetAgain checks that after a limit was removed and set again
// the node requests all shares anew, since others may have been given the old ones.
func TestLimitRemovedAndSetAgain(t *testing.T) {
	limiter := NewShared()
	now := time.Unix(1000, 0)
	limited := configOf(t, `{"account":"school","concurrency":4}`)
	limiter.configureAt(now, limited)
	limiter.Grant(now, now, &peerpb.ShareGrants{
		Number: 1, Full: true, LeaseMs: 10_000, BaseLeaseMs: 20_000,
		Grants: []*peerpb.ShareGrant{{Account: "school", Concurrency: 4, BaseConcurrency: 2}},
	})
	_, err := limiter.Acquire("school", now)
	require.NoError(t, err)
	limiter.configureAt(now, state.EmptyConfig())
	limiter.configureAt(now, limited)
	_, err = limiter.Acquire("school", now.Add(newLimitGrace))
	assert.True(t, fault.IsKind(err, fault.LimitReached))
	assert.Zero(t, limiter.Report("a1", 1, 1, time.Second).GetAcknowledged())
}

// TestLeaseExpiresDuringSuspension checks that a lease expires on a VM whose
// monotonic clock stopped during suspension.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	sentAt := time.Now()
	resumedAt := sentAt.Round(0).Add(time.Minute)
	assert.Equal(t, time.Minute, elapsedSince(sentAt, resumedAt))
	l := lease{sentAt: sentAt, fullDuration: 10 * time.Second, baseDuration: time.Hour, granted: true}
	assert.Equal(t, partBase, l.partAt(resumedAt))
}

func configOf(t *testing.T, spec string) *state.Config {
	account := fmt.Sprintf(`{"token_sha256":[%q]}`, strings.Repeat("a", 64))
	config, err := state.Compile(2, []*peerpb.ConfigObject{
		{Kind: "account", Name: "school", Revision: 1, Spec: []byte(account)},
		{Kind: "limit", Name: "school", Revision: 2, Spec: []byte(spec)},
	})
	require.NoError(t, err)
	return config
}
