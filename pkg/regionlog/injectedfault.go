package regionlog

// injectedFault disables one rule of the protocol, so that tests can show that
// they detect the violation. Only tests set it.
type injectedFault string

const (
	// faultNone leaves the protocol unchanged.
	faultNone injectedFault = ""
	// faultVoteWithoutLogCheck grants votes to candidates whose logs are less up to date.
	faultVoteWithoutLogCheck injectedFault = "vote-without-log-check"
	// faultCommitEarlierTerm commits entries of earlier terms by counting replicas.
	faultCommitEarlierTerm injectedFault = "commit-earlier-term"
	// faultReadWithoutQuorum answers reads without confirmation by a quorum.
	faultReadWithoutQuorum injectedFault = "read-without-quorum"
	// faultAppendWithoutMatch appends without checking the preceding entry.
	faultAppendWithoutMatch injectedFault = "append-without-match"
	// faultConcurrentChanges allows a membership change while another is pending.
	faultConcurrentChanges injectedFault = "concurrent-changes"
	// faultNoTimeFloor stamps entries with the leader's clock even if it went backwards.
	faultNoTimeFloor injectedFault = "no-time-floor"
	// faultAcceptOldIdentity accepts messages addressed to an identity that was lost.
	faultAcceptOldIdentity injectedFault = "accept-old-identity"
	// faultNoPreVote lets a partitioned keeper increment its term.
	faultNoPreVote injectedFault = "no-pre-vote"
	// faultNoCheckQuorum lets a leader without a quorum stay leader.
	faultNoCheckQuorum injectedFault = "no-check-quorum"
)
