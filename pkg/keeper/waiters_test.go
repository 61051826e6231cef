package keeper

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

func addWaiter(w *waiters, index, term uint64) <-chan proposalResult {
	done := make(chan proposalResult, 1)
	w.add(index, term, done)
	return done
}

// Guards against a wrong result after a leader change: of the proposals at an index, the
// one with the applied entry's term is committed and the others are replaced.
func TestWaitersDistinguishCommittedFromReplaced(t *testing.T) {
	var w waiters
	w.init()
	old, own, later := addWaiter(&w, 5, 2), addWaiter(&w, 5, 3), addWaiter(&w, 6, 3)
	result := &peerpb.Result{Revision: 9}
	w.complete(5, 3, result)
	assert.Equal(t, proposalResult{status: replaced}, <-old)
	assert.Equal(t, proposalResult{committed, result}, <-own)
	assert.Empty(t, later)
}

// Guards against a definite result for a proposal whose index is covered by a snapshot:
// the snapshot does not show which entry was committed there.
func TestWaitersCoveredBySnapshotAreUnknown(t *testing.T) {
	var w waiters
	w.init()
	covered, after := addWaiter(&w, 5, 2), addWaiter(&w, 8, 2)
	w.completeCovered(7)
	assert.Equal(t, proposalResult{status: unknown}, <-covered)
	assert.Empty(t, after)
	w.completeAll()
	assert.Equal(t, proposalResult{status: unknown}, <-after)
}
