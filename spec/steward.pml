/*
 * The coordinator's lease, which is not stored on disk, its fencing number, and its
 * orders to an engine that either refuses an old fencing number or ignores it.
 *
 * A voter promises its vote for MaxLease from receipt of the request; the holder
 * counts HolderLease from the start of its round. Any step may be delayed by any
 * time. A request that is never granted and a reply that is never counted model
 * message loss. All clocks advance together; HolderLease is shorter than MaxLease by
 * the clock drift.
 *
 * Invariants: at most one coordinator has a valid lease; a fencing number that a
 * majority recorded is above the number that the engine holds; the engine never
 * returns to an order with a lower number.
 */
/* broken: NO_ABSTENTION_AFTER_RESTART */
/* broken: FENCE_FROM_OWN_MEMORY */
/* broken: REASSIGN_WITHOUT_WAIT */
/* broken: IGNORE_OWN_LEASE */

#define Voters 3
#define Majority 2
#define Candidates 2
#define HonoursFencing 0
#define IgnoresFencing 1

/* In ticks. */
#define MaxLease 2
#define HolderLease 1
#define OrderLifetime 1

/* Bounds of the state space. */
#define MaxFence 3
#define MaxRestarts 3

#define None 255
#define Abstaining 254  /* a restarted voter, which may have promised its vote to any candidate */

typedef Voter {
  byte holder = None;  /* candidate that the vote is promised to */
  byte until;          /* remaining ticks of the promise or the abstention */
  byte highest;        /* highest fencing number recorded */
}

typedef Candidate {
  byte roundLeft;   /* remaining ticks of a lease that the open round would give */
  byte roundFence;  /* fencing number that the round records, 0 for none */
  byte granted;     /* votes granted in the round, one bit each */
  byte leaseLeft;   /* remaining ticks of the lease */
  byte fence;       /* chosen fencing number, 0 for none */
  byte own;         /* last number chosen by this node */
  byte seen;        /* highest number in the replies of the open round */
  byte settle;      /* ticks until engines that ignore fencing may be ordered */
  bool recorded;    /* a majority recorded fence */
}

typedef Order {
  byte fence;  /* 0 for none in flight */
  byte left;   /* remaining ticks in which it may be delivered */
}

Voter voters[Voters];
Candidate candidates[Candidates];
Order orders[Candidates];  /* in flight from each candidate */
byte engine;               /* kind of the engine: HonoursFencing or IgnoresFencing */
byte held;                 /* fencing number of the order that the engine holds */
byte restarts;

#define bit(v) (1 << (v))
#define count(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define raise(x, y) if :: (y) > (x) -> x = (y) :: else fi

#ifdef IGNORE_OWN_LEASE
#define mayOrder(c) (candidates[c].recorded)
#else
#define mayOrder(c) (candidates[c].recorded && candidates[c].leaseLeft > 0)
#endif

#ifdef REASSIGN_WITHOUT_WAIT
#define settled(c) (true)
#else
#define settled(c) (engine == HonoursFencing || candidates[c].settle == 0)
#endif

inline stepDown(c) {
  candidates[c].roundLeft = 0; candidates[c].roundFence = 0; candidates[c].granted = 0;
  candidates[c].leaseLeft = 0; candidates[c].fence = 0; candidates[c].recorded = false;
  candidates[c].settle = 0; candidates[c].seen = 0
}

inline openRound(c) {
  candidates[c].roundLeft = HolderLease;
  candidates[c].roundFence = candidates[c].fence;
  candidates[c].granted = 0
}

/* grant is a voter's positive reply to the open round of a candidate. */
inline grant(c, v) {
  voters[v].holder = c;
  voters[v].until = MaxLease;
  raise(voters[v].highest, candidates[c].roundFence);
  if :: candidates[c].fence == 0 -> raise(candidates[c].seen, voters[v].highest) :: else fi;
  candidates[c].granted = candidates[c].granted | bit(v)
}

/* handleMajority extends the lease, then chooses a fencing number or marks the chosen
 * number as recorded. */
inline handleMajority(c) {
  raise(candidates[c].leaseLeft, candidates[c].roundLeft);
  if
  :: candidates[c].fence == 0 -> chooseFence(c)
  :: candidates[c].fence != 0 && candidates[c].roundFence == candidates[c].fence && !candidates[c].recorded ->
     candidates[c].recorded = true;
     candidates[c].settle = OrderLifetime;
     assert(candidates[c].fence > held)
  :: else
  fi
}

/* chooseFence chooses a number above all numbers that a majority of voters and the
 * engine have seen. */
inline chooseFence(c) {
#ifdef FENCE_FROM_OWN_MEMORY
  candidates[c].fence = candidates[c].own + 1;
#else
  candidates[c].fence = held;
  raise(candidates[c].fence, candidates[c].seen);
  candidates[c].fence++;
  candidates[c].seen = 0;
#endif
#ifdef FENCE_FROM_OWN_MEMORY
  candidates[c].own = candidates[c].fence;
#endif
  openRound(c)
}

inline restart(v) {
  restarts++;
  voters[v].holder = None; voters[v].until = 0; voters[v].highest = 0;
#ifndef NO_ABSTENTION_AFTER_RESTART
  voters[v].holder = Abstaining; voters[v].until = MaxLease;
#endif
  if
  :: v < Candidates -> stepDown(v); candidates[v].own = 0
  :: else
  fi
}

inline sendOrder(c) {
  orders[c].fence = candidates[c].fence;
  orders[c].left = OrderLifetime
}

inline deliver(c) {
  if
  :: engine == HonoursFencing && orders[c].fence < held -> skip  /* refused */
  :: else ->
     assert(orders[c].fence >= held);
     held = orders[c].fence
  fi;
  orders[c].fence = 0; orders[c].left = 0
}

#define down(x) if :: x > 0 -> x-- :: else fi

inline tick() {
  for (i : 0 .. Voters - 1) {
    down(voters[i].until);
    if :: voters[i].until == 0 -> voters[i].holder = None :: else fi
  }
  for (i : 0 .. Candidates - 1) {
    down(candidates[i].roundLeft);
    if :: candidates[i].roundLeft == 0 -> candidates[i].granted = 0; candidates[i].roundFence = 0; candidates[i].seen = 0 :: else fi;
    down(candidates[i].settle);
    if
    :: candidates[i].leaseLeft > 0 ->
       candidates[i].leaseLeft--;
#ifndef IGNORE_OWN_LEASE
       if :: candidates[i].leaseLeft == 0 -> stepDown(i) :: else fi
#endif
    :: else
    fi
  }
  for (i : 0 .. Candidates - 1) {
    down(orders[i].left);
    if :: orders[i].left == 0 -> orders[i].fence = 0 :: else fi
  }
}

/* resetChoices resets the choices of a step, so that they do not add to the state. */
inline resetChoices() { c = 0; v = 0; i = 0 }

/* mayGoOn bounds the state space to MaxFence. */
#define mayGoOn(c) (candidates[c].own < MaxFence && held < MaxFence && \
  voters[0].highest < MaxFence && voters[1].highest < MaxFence && voters[2].highest < MaxFence)

#define oneSteward (!(mayOrder(0) && mayOrder(1)))

active proctype FailureDomain() {
  byte c, v, i;
  resetChoices();
  if :: engine = HonoursFencing :: engine = IgnoresFencing fi;
  do
  :: atomic { tick(); assert(oneSteward); resetChoices() }
  :: atomic {
       select(c : 0 .. Candidates - 1);
       select(v : 0 .. Voters - 1);
       if
       :: candidates[c].roundLeft > 0 &&
          (voters[v].holder == None || voters[v].holder == c) &&
          !(candidates[c].granted & bit(v)) -> grant(c, v)
       :: else
       fi;
       resetChoices() }
  :: atomic {
       select(c : 0 .. Candidates - 1);
       if
       :: candidates[c].roundLeft > 0 && count(candidates[c].granted) >= Majority -> handleMajority(c)
       :: candidates[c].roundLeft == 0 && voters[c].holder != Abstaining && mayGoOn(c) ->
          openRound(c)
       :: candidates[c].recorded -> openRound(c)  /* renewal */
       :: else
       fi;
       assert(oneSteward);
       resetChoices() }
  :: atomic {  /* planned stop: the promises are released */
       select(c : 0 .. Candidates - 1);
       if
       :: candidates[c].recorded ->
          stepDown(c);
          for (i : 0 .. Voters - 1) {
            if :: voters[i].holder == c -> voters[i].holder = None; voters[i].until = 0 :: else fi
          }
       :: else
       fi;
       resetChoices() }
  :: atomic {
       select(c : 0 .. Candidates - 1);
       if
       :: mayOrder(c) && orders[c].fence == 0 && settled(c) -> sendOrder(c)
       :: else
       fi;
       resetChoices() }
  :: atomic {
       select(c : 0 .. Candidates - 1);
       if
       :: orders[c].fence != 0 -> deliver(c)
       :: else
       fi;
       resetChoices() }
  :: atomic {
       select(v : 0 .. Voters - 1);
       if
       :: restarts < MaxRestarts -> restart(v)
       :: else
       fi;
       resetChoices() }
  od
}
