package keeper

import (
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// event is handled by the log loop.
type event interface{ handle(l *logLoop) }

// messageEvent is a message from another keeper.
type messageEvent struct{ message *peerpb.LogMessage }

func (e messageEvent) handle(l *logLoop) {
	if err := l.machine.Step(e.message); err != nil {
		l.keeper.opts.Log.Debug().Err(err).Uint64("from", e.message.GetFrom()).Msg("message_refused")
	}
}

// snapshotFailedEvent reports that a snapshot could not be sent to a member.
type snapshotFailedEvent struct{ identity uint64 }

func (e snapshotFailedEvent) handle(l *logLoop) { l.machine.SnapshotFailed(e.identity) }

// proposalEvent asks the leader to append a command.
type proposalEvent struct {
	data []byte
	// refused receives the error if nothing was appended.
	refused chan<- error
	done    chan<- proposalResult
}

func (e proposalEvent) handle(l *logLoop) {
	index, term, err := l.machine.Propose(time.Now().UnixMilli(), e.data)
	if err != nil {
		e.refused <- err
		return
	}
	l.keeper.waiters.add(index, term, e.done)
}

// changeEvent asks the leader for a membership change.
type changeEvent struct {
	change  *peerpb.MembershipChange
	refused chan<- error
	done    chan<- proposalResult
}

func (e changeEvent) handle(l *logLoop) {
	index, term, err := l.machine.ProposeMembership(time.Now().UnixMilli(), e.change)
	if err != nil {
		e.refused <- err
		return
	}
	l.keeper.waiters.add(index, term, e.done)
}

// successionEvent asks the leader to promote the learner that takes over a voter's vote.
type successionEvent struct {
	voter   uint64
	refused chan<- error
	done    chan<- proposalResult
}

func (e successionEvent) handle(l *logLoop) {
	change, err := l.planner.succession(l.machine.Status(), e.voter)
	if err != nil {
		e.refused <- err
		return
	}
	if change == nil {
		e.done <- proposalResult{status: committed}
		return
	}
	changeEvent{change, e.refused, e.done}.handle(l)
}

// readResult is an index confirmed by a quorum, or an error.
type readResult struct {
	index uint64
	err   error
}

// readEvent asks the leader for a confirmed index.
type readEvent struct{ done chan<- readResult }

func (e readEvent) handle(l *logLoop) {
	l.lastRead++
	if err := l.machine.Read(l.lastRead); err != nil {
		e.done <- readResult{err: err}
		return
	}
	l.reads[l.lastRead] = e.done
}

// transferEvent asks the leader to transfer its leadership.
type transferEvent struct{}

func (transferEvent) handle(l *logLoop) {
	if to := l.machine.TransferTarget(); to != 0 {
		if err := l.machine.Transfer(to); err != nil {
			l.keeper.opts.Log.Warn().Err(err).Msg("transfer_refused")
		}
	}
}

// snapshotWrittenEvent reports that a snapshot was written to the disk.
type snapshotWrittenEvent struct{ index uint64 }

func (e snapshotWrittenEvent) handle(l *logLoop) { l.compact(e.index) }

// formEvent starts the log with its first membership.
type formEvent struct {
	membership *peerpb.Membership
	data       []byte
}

func (e formEvent) handle(l *logLoop) { l.form(e.membership, e.data) }
