package keeper

import (
	"sync"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// proposalStatus is the final status of a proposed entry.
type proposalStatus int

const (
	// committed: the entry was committed and applied.
	committed proposalStatus = iota
	// replaced: another entry was committed at its index.
	replaced
	// unknown: the keeper cannot determine whether the entry was committed.
	unknown
)

// proposalResult is the result of a proposal.
type proposalResult struct {
	status proposalStatus
	result *peerpb.Result
}

type waiter struct {
	term uint64
	done chan<- proposalResult
}

// waiters holds the proposals that wait until their index is applied.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64][]waiter
}

func (w *waiters) init() { w.byIndex = map[uint64][]waiter{} }

func (w *waiters) add(index, term uint64, done chan<- proposalResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byIndex[index] = append(w.byIndex[index], waiter{term, done})
}

// complete delivers the result to the proposer of the applied entry. Entries of other
// terms proposed at the same index can no longer be committed; their proposers get
// the status replaced.
func (w *waiters) complete(index, term uint64, result *peerpb.Result) {
	w.mu.Lock()
	waiting := w.byIndex[index]
	delete(w.byIndex, index)
	w.mu.Unlock()
	for _, proposal := range waiting {
		if proposal.term == term {
			proposal.done <- proposalResult{committed, result}
		} else {
			proposal.done <- proposalResult{status: replaced}
		}
	}
}

// completeCovered completes the proposals at all indexes covered by a snapshot with
// the status unknown.
func (w *waiters) completeCovered(upTo uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index, waiting := range w.byIndex {
		if index <= upTo {
			completeUnknown(waiting)
			delete(w.byIndex, index)
		}
	}
}

// completeAll completes all proposals with the status unknown.
func (w *waiters) completeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, waiting := range w.byIndex {
		completeUnknown(waiting)
	}
	clear(w.byIndex)
}

func completeUnknown(waiting []waiter) {
	for _, proposal := range waiting {
		proposal.done <- proposalResult{status: unknown}
	}
}
