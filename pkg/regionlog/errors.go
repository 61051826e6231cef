package regionlog

import (
	"errors"
	"fmt"
)

// Errors that a Machine returns when it rejects an event. Nothing was appended.
var (
	// ErrWrongIdentity rejects a message addressed to another identity, such as
	// the one that this keeper had before its disk was lost.
	ErrWrongIdentity = errors.New("message is for another keeper identity")
	// ErrRemovedIdentity rejects a message from an identity that was removed.
	ErrRemovedIdentity = errors.New("message is from a removed keeper identity")
	// ErrTransferring rejects proposals during a leadership transfer.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrOverloaded rejects proposals while too many bytes are uncommitted.
	ErrOverloaded = errors.New("too many bytes of the log are uncommitted")
	// ErrTermNotCommitted rejects reads and membership changes until the leader
	// has committed an entry of its own term.
	ErrTermNotCommitted = errors.New("the leader has not committed an entry of its term yet")
	// ErrChangePending rejects a membership change while another is uncommitted.
	ErrChangePending = errors.New("another membership change is not committed yet")
	// ErrQuorumAtRisk rejects a removal or a promotion after which no majority would be
	// reachable.
	ErrQuorumAtRisk = errors.New("too few of the remaining voters respond to form a majority")
	// ErrNoLearnerReady rejects the demotion of a voter whose vote no learner can take over.
	ErrNoLearnerReady = errors.New("no learner stands by that could take over the vote")
	// ErrNotCaughtUp rejects the promotion of a learner that lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner has not replicated all committed entries yet")
)

// NotLeaderError rejects an event that only the leader accepts.
type NotLeaderError struct {
	// Leader is the identity of the leader, or 0 if it is not known.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader is known"
	}
	return fmt.Sprintf("the leader is keeper %x", e.Leader)
}

// InvalidChangeError rejects an invalid membership change.
type InvalidChangeError struct{ Reason string }

// Error implements error.
func (e *InvalidChangeError) Error() string { return "membership change refused: " + e.Reason }

// DamagedLogError reports that the stored state is inconsistent.
type DamagedLogError struct{ Reason string }

// Error implements error.
func (e *DamagedLogError) Error() string { return "stored log is damaged: " + e.Reason }
