/*
 * The claim on one idempotency key. Entries open the claim, dispatch the request and
 * finish the claim. The network duplicates and delays their steps, entries crash at
 * any time, leases expire, and an operator settles an unknown claim. Names are those
 * of pkg/claims. Each attempt belongs to its own entry.
 */

/* broken: DISPATCH_BEFORE_COMMIT */
/* broken: RETRY_UNKNOWN */
/* broken: ABANDON_AFTER_SEND */
/* broken: ANY_ATTEMPT_FINISHES */
/* broken: SETTLE_EARLY */

#define ATTEMPTS 3
#define NOBODY ATTEMPTS
#define MAX_COPIES 2

mtype = { none, in_progress, answered, unknown };
mtype = { idle, opening, granted, sent, over };
mtype = { nothing, record, abandon, mark_unknown };
mtype = { quiet, in_flight, executed, refused };

/* The claim table. */
mtype state = none;
byte holder = NOBODY;
bool spent[ATTEMPTS];

/* The entries. */
mtype entry[ATTEMPTS] = idle;
bool deadline[ATTEMPTS];     /* the request's deadline has passed */
bool reported_not_run[ATTEMPTS];

/* The network: opening steps and final steps in flight. */
byte opens[ATTEMPTS];
mtype last[ATTEMPTS] = nothing;

/* The upstream. */
mtype upstream[ATTEMPTS] = quiet;
byte runs = 0;

#define HOLDS(i) (holder == i)

inline open_step(i) {
  if
  :: spent[i] -> skip
  :: !spent[i] && state == none ->
     state = in_progress;
     holder = i;
     if :: entry[i] == opening -> entry[i] = granted :: else fi
  :: !spent[i] && state == in_progress && HOLDS(i) ->
     if :: entry[i] == opening -> entry[i] = granted :: else fi
#ifdef RETRY_UNKNOWN
  :: !spent[i] && state == unknown && !HOLDS(i) ->
     state = in_progress;
     holder = i;
     if :: entry[i] == opening -> entry[i] = granted :: else fi
#else
  :: !spent[i] && state == unknown && !HOLDS(i) ->
     spent[i] = true;
     if :: entry[i] == opening -> entry[i] = over :: else fi
#endif
  :: !spent[i] && state == in_progress && !HOLDS(i) ->
     spent[i] = true;
     if :: entry[i] == opening -> entry[i] = over :: else fi
  :: !spent[i] && (state == answered || (state == unknown && HOLDS(i))) ->
     assert(state != answered || runs == 1);
     if :: entry[i] == opening -> entry[i] = over :: else fi
  fi
}

#ifdef ANY_ATTEMPT_FINISHES
#define MAY_FINISH(i) (holder != NOBODY)
#else
#define MAY_FINISH(i) HOLDS(i)
#endif

inline free_key() {
  state = none;
  holder = NOBODY;
}

inline last_step(i) {
  if
  :: last[i] == record && MAY_FINISH(i) && state != none -> state = answered
  :: last[i] == abandon ->
     spent[i] = true;
     if
     :: MAY_FINISH(i) && (state == in_progress || state == unknown) -> free_key()
     :: else
     fi
  :: last[i] == mark_unknown && MAY_FINISH(i) && state == in_progress -> state = unknown
  :: else
  fi
}

/* An upstream executes a request, refuses it, or never receives it. */
inline upstream_step(i) {
  if
  :: upstream[i] = executed;
     runs++;
     assert(runs <= 1);
     assert(!reported_not_run[i])
  :: upstream[i] = refused
  :: upstream[i] = quiet
  fi
}

/* The entry receives the outcome, or times out while the request may still run. */
inline finish(i) {
  entry[i] = over;
  if
  :: upstream[i] == executed -> last[i] = record
  :: upstream[i] == refused -> last[i] = abandon; reported_not_run[i] = true
#ifdef ABANDON_AFTER_SEND
  :: last[i] = abandon; reported_not_run[i] = true
#else
  :: last[i] = mark_unknown
#endif
  fi
}

/* The lease is longer than the deadline of the request, after which no entry sends it. */
#ifdef SETTLE_EARLY
#define LEASE_OVER true
#else
#define LEASE_OVER (deadline[holder] && upstream[holder] != in_flight)
#endif

#define EVENTS(i) \
  :: atomic { entry[i] == idle -> entry[i] = opening; opens[i] = MAX_COPIES } \
  :: atomic { opens[i] > 0 -> opens[i]--; open_step(i) } \
  :: atomic { opens[i] > 0 -> opens[i]-- } \
  :: atomic { entry[i] == opening -> entry[i] = over; last[i] = abandon; reported_not_run[i] = true } \
  :: atomic { MAY_SEND(i) && !deadline[i] -> entry[i] = sent; upstream[i] = in_flight } \
  :: atomic { upstream[i] == in_flight -> upstream_step(i) } \
  :: atomic { entry[i] == sent -> finish(i) } \
  :: atomic { last[i] != nothing -> last_step(i) } \
  :: atomic { last[i] != nothing -> last[i] = nothing } \
  :: atomic { entry[i] != idle && entry[i] != over -> entry[i] = over } \
  :: atomic { entry[i] != idle && !deadline[i] -> deadline[i] = true }

#ifdef DISPATCH_BEFORE_COMMIT
#define MAY_SEND(i) (entry[i] == opening || entry[i] == granted)
#else
#define MAY_SEND(i) (entry[i] == granted)
#endif

init {
end:
  do
  EVENTS(0)
  EVENTS(1)
  EVENTS(2)
  :: atomic { state == in_progress && deadline[holder] -> state = unknown }
  :: atomic { state == unknown && LEASE_OVER ->
     /* The operator queries the service for the outcome. */
     if
     :: upstream[holder] == executed -> state = answered
     :: else -> spent[holder] = true; free_key()
     fi }
  od
}
