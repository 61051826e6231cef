/*
 * The region log: election and commit among three keepers, one of which may
 * lose its disk. Names are those of pkg/regionlog.
 *
 * Each action is one batch of a keeper: the state that it syncs and the messages that
 * it then sends. A sent message stays in the variables below permanently, so the
 * search covers its loss, delay, duplication and reordering, and also a kill between
 * any two batches. Messages whose only effect is a reply to a candidate or leader that
 * has left the term are dropped, because no one counts that reply; the entries of an
 * old leader still arrive. An entry is identified by its term and index, because a
 * term has one leader, which is asserted. A keeper that lost its disk rejoins under a
 * new identity as a learner, whose replies count for no quorum. Only keeper 2 loses
 * its disk, since the keepers are symmetric.
 *
 * Terms and entries are bounded. Pre-vote, check-quorum, snapshots and membership
 * changes are not modelled; the randomized tests in pkg/regionlog cover them.
 */
/* broken: WIPED_KEEPS_IDENTITY */
/* broken: VOTE_WITHOUT_LOG_CHECK */
/* broken: VOTE_NOT_SYNCED */
/* broken: APPEND_WITHOUT_MATCH */
/* broken: COMMIT_EARLIER_TERM */

#define KEEPERS  3
#define ENTRIES  2 /* indexes 1 to ENTRIES */
#define LEARNER  3 /* the new identity after the disk was lost */

/* Replacing an entry of an earlier term requires a fourth term. FOUR_TERMS has
 * tighter bounds otherwise: one entry and no lost disk. With it, a leader that was
 * killed and restarted campaigns; without it, only another keeper does. */
#ifdef COMMIT_EARLIER_TERM
#define FOUR_TERMS
#endif
#ifdef FOUR_TERMS
#define TERMS    4 /* terms 1 to TERMS */
#define PROPOSED 1 /* the last index that a leader adds */
#define MAYLEAVE(k) true
#else
#define TERMS    3
#define PROPOSED ENTRIES
#define MAYLEAVE(k) (!LEADS(k))
#endif

#define LOG(k, i)       log[(k) * (ENTRIES + 1) + (i)]
#define LEADERLOG(t, i) leaderLog[(t) * (ENTRIES + 1) + (i)]
#define ACKED(t, i)     acked[(t) * (ENTRIES + 1) + (i)]
#define GRANTED(t, c)   granted[(t) * KEEPERS + (c)]
#define ASKEDLAST(t, c) askedLast[(t) * KEEPERS + (c)]
#define ASKEDTERM(t, c) askedTerm[(t) * KEEPERS + (c)]

#define BIT(k)       (1 << identity[k])
#define MAJORITY(s)  ((((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1)) >= 2)
#define LAST(k)      (LOG(k, 2) != 0 -> 2 : (LOG(k, 1) != 0 -> 1 : 0))
#define LASTTERM(k)  LOG(k, LAST(k))
#define ISVOTER(k)   (identity[k] != LEARNER)
#define LEADS(k)     (term[k] > 0 && leader[term[k]] == (k) + 1 && vote[k] == (k) + 1)

/* The synced state of each keeper. vote is the keeper voted for plus 1. */
byte identity[KEEPERS];
byte term[KEEPERS];
byte vote[KEEPERS];
byte log[9];
bool lost;

/* Sent messages: vote requests and votes by term and candidate, and the log of each
 * term's leader with the identities that acknowledged each index. */
byte askedLast[15];
byte askedTerm[15];
byte granted[15];
byte leader[5];
byte leaderLog[15];
byte acked[15];

/* The term of the entry committed at each index, and the term of the leader that
 * first committed it: every leader of a later term must have that entry. */
byte commit[3];
byte committedIn[3];

byte i;

/* COVEREDBY: the candidate's log is at least as up to date as the voter's. */
#ifdef VOTE_WITHOUT_LOG_CHECK
#define COVEREDBY(k, t, c) true
#else
#define COVEREDBY(k, t, c) (ASKEDTERM(t, c) > LASTTERM(k) || (ASKEDTERM(t, c) == LASTTERM(k) && ASKEDLAST(t, c) >= LAST(k)))
#endif

#ifdef APPEND_WITHOUT_MATCH
#define MATCHES(k, t, n) true
#else
#define MATCHES(k, t, n) ((n) == 0 || LOG(k, n) == LEADERLOG(t, n))
#endif

#ifdef COMMIT_EARLIER_TERM
#define OWNTERM(t, n) true
#else
#define OWNTERM(t, n) (LEADERLOG(t, n) == (t))
#endif

/* leaveTerm: replies for the term that keeper k leaves are no longer counted. */
inline leaveTerm(k) {
	if
	:: term[k] > 0 ->
		GRANTED(term[k], k) = 0;
		ASKEDLAST(term[k], k) = 0;
		ASKEDTERM(term[k], k) = 0;
		if
		:: leader[term[k]] == k + 1 -> ACKED(term[k], 1) = 0; ACKED(term[k], 2) = 0
		:: else
		fi
	:: else
	fi
}

inline campaign(k) {
	d_step {
		leaveTerm(k);
		term[k]++;
		vote[k] = k + 1;
		ASKEDLAST(term[k], k) = LAST(k);
		ASKEDTERM(term[k], k) = LASTTERM(k);
		GRANTED(term[k], k) = GRANTED(term[k], k) | BIT(k)
	}
}

inline handleVoteRequest(k, t, c) {
	d_step {
		if
		:: t > term[k] -> leaveTerm(k)
		:: else
		fi;
		term[k] = t;
		vote[k] = c + 1;
		GRANTED(t, c) = GRANTED(t, c) | BIT(k)
	}
}

inline becomeLeader(k) {
	d_step {
		assert(leader[term[k]] == 0);
		leader[term[k]] = k + 1;
		i = 1;
		do
		:: i <= ENTRIES ->
			assert(commit[i] == 0 || committedIn[i] >= term[k] || LOG(k, i) == commit[i]);
			LEADERLOG(term[k], i) = LOG(k, i);
			if
			:: LOG(k, i) != 0 -> ACKED(term[k], i) = ACKED(term[k], i) | BIT(k)
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
}

inline propose(k) {
	d_step {
		i = LAST(k) + 1;
		LOG(k, i) = term[k];
		LEADERLOG(term[k], i) = term[k];
		ACKED(term[k], i) = ACKED(term[k], i) | BIT(k);
		i = 0
	}
}

/* Appends one entry of the leader of term t; a conflicting entry is removed together
 * with all that follow it. */
inline handleAppend(k, t, n) {
	d_step {
		if
		:: t > term[k] -> leaveTerm(k); term[k] = t; vote[k] = 0
		:: else
		fi;
		if
		:: LOG(k, n) != LEADERLOG(t, n) ->
			LOG(k, n) = LEADERLOG(t, n);
			i = n + 1;
			do
			:: i <= ENTRIES -> LOG(k, i) = 0; i++
			:: else -> break
			od
		:: else
		fi;
		if
		:: LEADS(leader[t] - 1) -> ACKED(t, n) = ACKED(t, n) | BIT(k)
		:: else
		fi;
		i = 0
	}
}

inline maybeCommit(t, n) {
	d_step {
		i = 1;
		do
		:: i <= n ->
			assert(commit[i] == 0 || commit[i] == LEADERLOG(t, i));
			if
			:: commit[i] == 0 || committedIn[i] > t -> committedIn[i] = t
			:: else
			fi;
			commit[i] = LEADERLOG(t, i);
			i++
		:: else -> break
		od;
		i = 0
	}
}

inline loseDisk(k) {
	d_step {
		lost = true;
		leaveTerm(k);
		term[k] = 0;
		vote[k] = 0;
		LOG(k, 1) = 0;
		LOG(k, 2) = 0;
#ifndef WIPED_KEEPS_IDENTITY
		identity[k] = LEARNER
#endif
	}
}

#define CAMPAIGN(k) :: ISVOTER(k) && term[k] < TERMS && MAYLEAVE(k) -> campaign(k)
#define VOTE(k, t, c) :: (k) != (c) && GRANTED(t, c) != 0 && (t > term[k] || (t == term[k] && vote[k] == 0)) && COVEREDBY(k, t, c) -> handleVoteRequest(k, t, c)
#define LEAD(k) :: term[k] > 0 && vote[k] == k + 1 && leader[term[k]] != k + 1 && MAJORITY(GRANTED(term[k], k)) -> becomeLeader(k)
#define PROPOSE(k) :: LEADS(k) && LAST(k) < PROPOSED -> propose(k)
#define APPEND(k, t, n) :: leader[t] != 0 && leader[t] != k + 1 && LEADERLOG(t, n) != 0 && t >= term[k] && MATCHES(k, t, n - 1) && (ACKED(t, n) & BIT(k)) == 0 -> handleAppend(k, t, n)
#define COMMIT(t, n) :: leader[t] != 0 && LEADS(leader[t] - 1) && LEADERLOG(t, n) != 0 && commit[n] != LEADERLOG(t, n) && OWNTERM(t, n) && MAJORITY(ACKED(t, n)) -> maybeCommit(t, n)
#ifdef FOUR_TERMS
#define LOSEDISK(k)
#define TERM4(A, k) A(k, 4)
#define COMMITS4 COMMITS(4)
#else
#define LOSEDISK(k) :: !lost -> loseDisk(k)
#define TERM4(A, k)
#define COMMITS4
#endif
#ifdef VOTE_NOT_SYNCED
#define RESTART(k) :: vote[k] != 0 -> vote[k] = 0
#else
#define RESTART(k)
#endif

#define EACHKEEPER(A) A(0) A(1) A(2)
#define VOTES(k, t) VOTE(k, t, 0) VOTE(k, t, 1) VOTE(k, t, 2)
#define APPENDS(k, t) APPEND(k, t, 1) APPEND(k, t, 2)
#define EACHTERM(A, k) A(k, 1) A(k, 2) A(k, 3) TERM4(A, k)
#define COMMITS(t) COMMIT(t, 1) COMMIT(t, 2)

init {
	d_step { identity[0] = 0; identity[1] = 1; identity[2] = 2 }
	do
	EACHKEEPER(CAMPAIGN)
	EACHTERM(VOTES, 0) EACHTERM(VOTES, 1) EACHTERM(VOTES, 2)
	EACHKEEPER(LEAD)
	EACHKEEPER(PROPOSE)
	EACHTERM(APPENDS, 0) EACHTERM(APPENDS, 1) EACHTERM(APPENDS, 2)
	COMMITS(1) COMMITS(2) COMMITS(3) COMMITS4
	LOSEDISK(2)
	EACHKEEPER(RESTART)
	:: break
	od
}
