/*
 * The acknowledgement of a document: from a bound after it on, no entry answers by an older one.
 *
 * One document is committed while an entry follows the leader, whoever that is; spec/vote.pml shows
 * that one leader at a time confirms what is committed. A reply gives the entry a lease from the
 * time at which it was made. The leader acknowledges once the entry has the document, or has been
 * silent for a lease, or WAIT after the commit. Calls and replies take any time, or are lost; the
 * entry may restart, and another leader may follow, which knows nothing of the entry.
 *
 * Defining one of ACK_AT_ONCE, NEW_LEADER_KNOWS, COUNT_FROM_ARRIVAL, CALLS_ONLY or LONG_LEASE leaves
 * out one rule.
 */

#define APPLY 2               /* bound after the acknowledgement */
#define WAIT 1                /* longest wait for entries */

#ifdef LONG_LEASE
#define LEASE (APPLY + WAIT + 1)
#else
#define LEASE (APPLY + WAIT)
#endif

#define FULL 5                /* ages count up to this */

bool committed;
byte commitAge;
bool acked;
byte ackAge;

bool has;                     /* whether the entry has the document */
byte lease;                   /* rest of its lease */

/* A call of the entry: 0 none, 1 on its way, 2 held by the leader, 3 answered. */
byte call;
bool callHas;                 /* what the call says of the entry's document */
bool told;                    /* whether the reply holds the document */
byte replyAge;                /* time since the reply was made */

byte known;                   /* rest of the lease that the leader reckons the entry to have */
bool knownHas;                /* what the last call said, to this leader */
byte fresh = LEASE;           /* rest of the time in which this leader counts as new */

#ifdef COUNT_FROM_ARRIVAL
#define SPENT 0
#else
#define SPENT replyAge
#endif

#ifdef NEW_LEADER_KNOWS
#define IS_NEW (false)
#else
#define IS_NEW (fresh > 0)
#endif

#ifdef ACK_AT_ONCE
#define ADOPTED (true)
#else
#define ADOPTED (!IS_NEW && (known == 0 || knownHas))
#endif

inline countdown(timer) {
  if :: timer > 0 -> timer-- :: else fi
}

inline older(age, counts) {
  if :: counts && age < FULL -> age++ :: else fi
}

inline tick() {
  countdown(lease); countdown(known); countdown(fresh);
  older(commitAge, committed); older(ackAge, acked); older(replyAge, call == 3)
}

inline drop() {
  call = 0; callHas = false; told = false; replyAge = 0
}

/* Takes the reply: its document, and a lease from when it was made. */
inline take() {
  has = has || told;
  if
  :: LEASE > SPENT && LEASE - SPENT > lease -> lease = LEASE - SPENT
  :: else
  fi;
  drop()
}

inline reply() {
  told = committed; call = 3; replyAge = 0;
#ifndef CALLS_ONLY
  known = LEASE;
#endif
  skip
}

active proctype any() {
  do
  /* The wait for entries ends in time. */
  :: d_step { !(committed && !acked && commitAge >= WAIT) -> tick() }

  :: d_step { !committed -> committed = true; commitAge = 0 }
  :: d_step { committed && !acked && (ADOPTED || commitAge >= WAIT) -> acked = true; ackAge = 0 }

  :: d_step { call == 0 -> call = 1; callHas = has }
  :: d_step { call == 1 -> call = 2; known = LEASE; knownHas = callHas }
  :: d_step { call == 2 -> reply() }
  :: d_step { call == 3 -> take() }
  :: d_step { call != 0 -> drop() }

  /* The entry restarts. */
  :: d_step { true -> has = false; lease = 0; drop() }

  /* Another leader follows; what the one before holds is lost, what it has sent is not. */
  :: d_step { true ->
       fresh = LEASE; known = 0; knownHas = false;
       if :: call == 2 -> drop() :: else fi;
       skip
     }

  /* The entry answers by what it has. */
  :: d_step { lease > 0 && !has && acked -> assert(ackAge < APPLY) }
  od
}
