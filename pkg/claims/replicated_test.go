package claims

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

var errLost = errors.New("link lost")

// fakeRegionLog is an in-memory region log that can lose commands and answers.
type fakeRegionLog struct {
	mu    sync.Mutex
	table *Table
	// loseSteps loses commands before they are committed, loseAnswer the answers to
	// committed ones.
	loseSteps  bool
	loseAnswer bool
}

func (l *fakeRegionLog) propose(_ context.Context, cmd *peerpb.Command) (*peerpb.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loseSteps {
		return nil, errLost
	}
	res := l.table.Apply(time.Now().UnixMilli(), cmd.GetClaim())
	if l.loseAnswer {
		return nil, errLost
	}
	return res, nil
}

func (l *fakeRegionLog) setLosses(loseSteps, loseAnswer bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseSteps, l.loseAnswer = loseSteps, loseAnswer
}

var (
	testKey         = Key{Account: "desk", Value: "k1"}
	testFingerprint = FingerprintOf("POST", "/grants", []byte("x"))
)

// startStore runs the store of one entry until the returned function is called.
func startStore(l *fakeRegionLog, node string) (*Replicated, func()) {
	store := NewReplicated(node, l.propose, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { store.Run(ctx) })
	return store, func() {
		cancel()
		running.Wait()
	}
}

// TestUncommittedClaimIsNotRun guards against a key that stays blocked by a claim
// whose commit is unknown. The claim fails with the outcome not-run, and a retry with
// the key is granted once the entry's abandon step is committed.
func TestUncommittedClaimIsNotRun(t *testing.T) {
	for name, losses := range map[string][2]bool{"step lost": {true, false}, "answer lost": {false, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeRegionLog{table: NewTable()}
				store, stop := startStore(l, "a1")
				defer stop()
				other, stopOther := startStore(l, "b1")
				defer stopOther()

				l.setLosses(losses[0], losses[1])
				_, err := store.Claim(t.Context(), testKey, testFingerprint)
				require.True(t, fault.IsKind(err, fault.NoQuorum))
				assert.Equal(t, fault.NotRun, fault.From(err).Outcome)
				assert.Positive(t, fault.From(err).RetryAfter)

				l.setLosses(false, false)
				advance(2 * resendInterval)
				synctest.Wait()
				decision, err := other.Claim(t.Context(), testKey, testFingerprint)
				require.NoError(t, err)
				assert.Equal(t, Granted, decision.State)
			})
		})
	}
}

// TestAnswerIsResentUntilCommitted guards against an answer that is lost because there
// was no quorum when it was recorded. It is resent, and a retry with the key through
// another entry gets it.
func TestAnswerIsResentUntilCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeRegionLog{table: NewTable()}
		store, stop := startStore(l, "a1")
		defer stop()
		other, stopOther := startStore(l, "b1")
		defer stopOther()

		decision, err := store.Claim(t.Context(), testKey, testFingerprint)
		require.NoError(t, err)
		require.Equal(t, Granted, decision.State)
		l.setLosses(true, false)
		err = store.Record(t.Context(), testKey, Answer{Status: 201, Body: []byte("granted")})
		require.True(t, fault.IsKind(err, fault.NoQuorum))
		// Wait for the first resend, which must be lost too.
		synctest.Wait()
		l.setLosses(false, false)

		decision, err = other.Claim(t.Context(), testKey, testFingerprint)
		require.NoError(t, err)
		assert.Equal(t, InProgress, decision.State)
		advance(2 * resendInterval)
		synctest.Wait()
		decision, err = other.Claim(t.Context(), testKey, testFingerprint)
		require.NoError(t, err)
		assert.Equal(t, Decision{State: Answered, Answer: Answer{Status: 201, Body: []byte("granted")}}, decision)
	})
}

// TestStopSendsQueuedSteps guards against queued steps that are lost at a planned stop
// of an entry.
func TestStopSendsQueuedSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeRegionLog{table: NewTable()}
		store, stop := startStore(l, "a1")
		for _, value := range []string{"k1", "k2", "k3"} {
			key := Key{Account: "desk", Value: value}
			_, err := store.Claim(t.Context(), key, testFingerprint)
			require.NoError(t, err)
			l.setLosses(true, false)
			require.Error(t, store.Record(t.Context(), key, Answer{Status: 201}))
			l.setLosses(false, false)
		}
		stop()
		for _, value := range []string{"k1", "k2", "k3"} {
			view, err := store.Lookup(t.Context(), Key{Account: "desk", Value: value})
			require.NoError(t, err)
			assert.Equal(t, "answered", view.State, value)
		}
	})
}

// TestClaimOfCrashedEntryBecomesUnknown guards against a key that stays in progress
// after its entry crashed. Its claim becomes unknown when the lease expires, and an
// operator can settle it.
func TestClaimOfCrashedEntryBecomesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeRegionLog{table: NewTable()}
		crashed := NewReplicated("a1", l.propose, zerolog.Nop())
		store := NewReplicated("b1", l.propose, zerolog.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := crashed.Claim(ctx, testKey, testFingerprint)
		require.NoError(t, err)

		advance(time.Minute + leaseMargin)
		decision, err := store.Claim(t.Context(), testKey, testFingerprint)
		require.NoError(t, err)
		assert.Equal(t, Unknown, decision.State)

		view, err := store.Lookup(t.Context(), testKey)
		require.NoError(t, err)
		assert.Equal(t, "unknown", view.State)
		assert.Equal(t, "a1", view.Node)
		_, err = store.Settle(t.Context(), testKey, Verdict{Attempt: view.Attempt, Ran: true, Status: 201, Body: "ran"})
		require.NoError(t, err)
		decision, err = store.Claim(t.Context(), testKey, testFingerprint)
		require.NoError(t, err)
		assert.Equal(t, Answered, decision.State)
		assert.Equal(t, "ran", string(decision.Answer.Body))
	})
}

// advance advances the clock of a synctest bubble.
func advance(d time.Duration) { <-time.After(d) }
