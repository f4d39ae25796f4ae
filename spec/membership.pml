/*
 * The voter set is maintained so that the losses that it was built for can always be borne: while
 * no more than BORNE machines are lost at a time, the voters that run and hold the log are a quorum.
 *
 * Machines fall silent and are heard again, end and start again, lose their disks, and are replaced
 * as planned: the successor joins first, and the machine that stops gives notice, upon which the leader
 * removes it where it would remove a silent one; a stop that the others bear is no loss. One that is back counts as lost until the set has settled,
 * as no change of it is due any more. A leader is there whenever a quorum can elect one.
 *
 * A successor may end for good at the moment at which it is given its vote, before the set that names
 * it is committed. It has borne nothing by then: what counts as lost is still the machine that it was
 * to replace.
 *
 * Defining NO_DOUBT leaves out the rule that a voter which no leader calls asks to join; KEEP_SILENT
 * the one that silent voters are removed; NO_DISK_CHECK the one that a voter with another disk is
 * removed and added anew; COUNT_NEWCOMER the one that a node votes only where the others that answer
 * are a quorum of the set with it, for which a silent voter leaves first; NO_NOTICE the one that a
 * voter gives notice before a planned stop.
 */

#ifndef FIRST
#define FIRST 3               /* voters at the start */
#endif
#ifndef NODES
#define NODES 5               /* with all successors */
#endif
#ifndef FAULTS
#define FAULTS 4
#endif
#ifndef ENDINGS
#define ENDINGS 2             /* successors that end as they are given their vote */
#endif
#define MOST 7                /* voters at most */
#define BORNE ((FIRST - 1) / 2)

typedef Node {
  bool owned;                 /* is to run: started, and not replaced */
  bool runs;
  bool silent;
  bool holds;                 /* has the disk with which it is in the set */
  bool believes;              /* its own log names it as a voter */
  bool voter;                 /* is in the set */
  bool leaving;               /* has given notice of a planned stop, and still runs */
  bool isNew;                 /* has not voted since it was started as a successor */
  bool recent                 /* was lost, and the set has not settled since */
}

Node n[NODES];
byte faults = FAULTS;
byte endings = ENDINGS;
byte i, j;
byte size, live, lost;
byte staying;                 /* voters that answer and have not given notice */
byte silentVoters;
byte missing;                 /* machines that are to run and have no successor that votes */
byte change;                  /* the change that is due: 0 none, else the node and 1 */
bool adds;

#define ANSWERS(x) (n[x].runs && !n[x].silent && n[x].holds)
#define HEARD(x) (n[x].runs && !n[x].silent)
#define QUORUM(x) ((x) / 2 + 1)
#define LEAVES_SET(x) (n[x].voter && n[x].leaving)
#define SILENT_VOTER(x) (n[x].voter && !ANSWERS(x) && !n[x].leaving)
/* one silent voter of an odd set stays; others go before those that have given notice */
#define SILENT_FIRST (silentVoters > (staying % 2 == 0 -> 1 : 0))
#define LED (live >= QUORUM(size))
#ifdef COUNT_NEWCOMER
#define BEARS_NEWCOMER (live + 1 >= QUORUM(size + 1))
#else
/* a set of one cannot grow but with the help of the second */
#define BEARS_NEWCOMER (live >= QUORUM(size + 1) || live == size)
#endif

#ifdef NO_DOUBT
#define ASKS(x) (HEARD(x) && !n[x].leaving && !n[x].believes)
#else
#define ASKS(x) (HEARD(x) && !n[x].leaving && (!n[x].believes || !n[x].voter || !n[x].holds))
#endif

inline count() {
  size = 0; live = 0; lost = 0; staying = 0; silentVoters = 0; missing = FIRST;
  for (i : 0 .. NODES - 1) {
    if :: n[i].voter -> size++ :: else fi;
    if :: n[i].voter && ANSWERS(i) -> live++ :: else fi;
    if :: n[i].voter && ANSWERS(i) && !n[i].leaving -> staying++ :: else fi;
    if :: SILENT_VOTER(i) -> silentVoters++ :: else fi;
    if :: n[i].recent || (n[i].owned && !HEARD(i)) -> lost++ :: else fi;
    if :: n[i].owned && !n[i].isNew && missing > 0 -> missing-- :: else fi
  }
  lost = lost + missing
}

/* The next change of the set, as the leader decides it. */
inline decide() {
  count();
  change = 0; adds = false;
  if
  :: LED ->
#ifndef KEEP_SILENT
    if
    :: size > 2 && QUORUM(size) > QUORUM(staying) && staying >= 2 && live >= QUORUM(size - 1) ->
      for (i : 0 .. NODES - 1) {
        if
        :: change == 0 && (SILENT_FIRST -> SILENT_VOTER(i) : LEAVES_SET(i)) -> change = i + 1
        :: else
        fi
      }
      for (i : 0 .. NODES - 1) {
        if :: change == 0 && (SILENT_VOTER(i) || LEAVES_SET(i)) -> change = i + 1 :: else fi
      }
    :: else
    fi;
#endif
    for (i : 0 .. NODES - 1) {
      if
#ifdef NO_DISK_CHECK
      :: change == 0 && ASKS(i) && !n[i].voter && size < MOST -> change = i + 1; adds = true
#else
      :: change == 0 && ASKS(i) && !(n[i].voter && n[i].holds) && size < MOST ->
        /* a member with another disk is removed before it is added */
        if
        :: n[i].voter && live >= QUORUM(size - 1) -> change = i + 1
        :: !n[i].voter && BEARS_NEWCOMER -> change = i + 1; adds = true
#ifndef COUNT_NEWCOMER
        /* a silent voter leaves, so that the others are a quorum without the newcomer */
        :: !n[i].voter && !BEARS_NEWCOMER && live >= QUORUM(size - 1) ->
          for (j : 0 .. NODES - 1) {
            if :: n[j].voter && !ANSWERS(j) && change == 0 -> change = j + 1 :: else fi
          }
#endif
        :: else
        fi
#endif
      :: else
      fi
    }
  :: else
  fi
}

/* All that is due until the set has settled. */
inline settle() {
  decide();
  do
  :: change > 0 ->
    n[change - 1].voter = adds;
    if
    :: adds ->
      n[change - 1].holds = true; n[change - 1].believes = true;
      if
      :: endings > 0 && n[change - 1].isNew ->
        endings--; n[change - 1].owned = false; n[change - 1].runs = false
      :: skip
      fi;
      n[change - 1].isNew = false
    :: else
    fi;
    decide()
  :: else -> break
  od;
  for (i : 0 .. NODES - 1) {
    if :: (HEARD(i) || !n[i].owned) && !n[i].leaving -> n[i].recent = false :: else fi
  }
  count();
  assert(lost > BORNE || LED)
}

/* The changes that a voter which has given notice waits for. */
inline settleLeave(x) {
  decide();
  do
  :: change > 0 && !adds && n[x].voter -> n[change - 1].voter = false; decide()
  :: else -> break
  od
}

/* Whether the voters but x bear the losses that the set was built for. */
#define BEARS_STOP(x) (live - n[x].voter >= BORNE + QUORUM(live - n[x].voter))

inline pick(x) {
  x = 0;
  do
  :: x < NODES - 1 -> x++
  :: break
  od
}

active proctype world() {
  byte x;
  atomic {
    for (i : 0 .. FIRST - 1) {
      n[i].owned = true; n[i].runs = true; n[i].holds = true;
      n[i].believes = true; n[i].voter = true
    }
    count()
  }
  do
  :: faults > 0 && lost < BORNE ->
    pick(x);
    atomic {
      if
      :: n[x].owned && HEARD(x) -> n[x].silent = true; n[x].recent = true; faults--
      :: n[x].owned && HEARD(x) -> n[x].runs = false; n[x].recent = true; faults--
      /* the disk is lost, and the machine is down for a while */
      :: n[x].owned && HEARD(x) ->
        n[x].runs = false; n[x].holds = false; n[x].believes = false; n[x].recent = true; faults--
      :: else
      fi;
      count()
    }
  /* the fault ends */
  :: pick(x);
    atomic {
      if
      :: n[x].owned && !HEARD(x) -> n[x].silent = false; n[x].runs = true
      :: else
      fi;
      count()
    }
  /* a successor is started */
  :: pick(x);
    atomic {
      if
      :: !n[x].owned && !n[x].runs && !n[x].voter && !n[x].recent && x >= FIRST ->
        n[x].owned = true; n[x].runs = true; n[x].holds = true; n[x].isNew = true
      :: else
      fi;
      count()
    }
  /* a machine whose successor has had its time gives notice, or stops, whoever votes by then */
  :: lost == 0 ->
    pick(x);
    atomic {
      byte owned;
      owned = 0;
      for (i : 0 .. NODES - 1) { if :: n[i].owned && HEARD(i) -> owned++ :: else fi };
      if
      :: n[x].owned && HEARD(x) && owned > FIRST ->
        n[x].owned = false; n[x].recent = !BEARS_STOP(x);
#ifdef NO_NOTICE
        n[x].runs = false
#else
        n[x].leaving = true
#endif
      :: else
      fi;
      count()
    }
#ifndef NO_NOTICE
  /* it stops once the set has changed as is due, or ends before that, which is a fault */
  :: pick(x);
    atomic {
      if
      :: n[x].leaving -> settleLeave(x); n[x].leaving = false; n[x].runs = false
      :: n[x].leaving && faults > 0 && lost < BORNE ->
        n[x].leaving = false; n[x].runs = false; n[x].recent = true; faults--
      :: else
      fi;
      count()
    }
#endif
  /* the set settles, or the next event comes before it does */
  :: atomic { settle() }
  od
}
