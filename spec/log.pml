/*
 * The replicated log: election, commit and change of voters.
 *
 * One process takes atomic steps of any server in any order. A message that is
 * lost is a step that is not taken; a message that is late is a prefix of its
 * sender's log, since a leader's log only grows within a term.
 *
 * Each entry holds its term and the set of voters from it on (a bit mask).
 * A log is formed by an election among the first voters, all of whose logs are empty; the first entry
 * names all of them, also those that were absent.
 *
 * Defining one of NO_LOG_CHECK, NO_VOTE_MEMORY, COUNT_OLD_TERMS,
 * TWO_CHANGES, VOTE_AFTER_LOSS or FORM_BY_REPORTS leaves out one rule; the last one lets a server
 * write the first entry once a majority reports empty logs, without their votes.
 */

#ifndef SERVERS
#define SERVERS 4
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef FIRST_VOTERS
#define FIRST_VOTERS 7
#endif
#define NONE 15

/* Whether a leader may count the holders of its entry. */
#ifdef COUNT_OLD_TERMS
#define COUNTS(x, upTo) (true)
#else
#define COUNTS(x, upTo) (s[x].logTerm[upTo - 1] == s[x].term)
#endif

typedef Server {
  byte term;
  byte vote;                  /* candidate voted for in this term, or NONE */
  byte size;
  byte logTerm[ENTRIES];
  byte logVoters[ENTRIES];
  byte commit;
  byte role;                  /* 0 follower, 1 candidate, 2 leader */
  byte votes;                 /* mask of votes received */
  byte match[SERVERS];
  bit lost;                   /* its disk came back empty, and it was not added again */
}

Server s[SERVERS];

/* History, for the assertions only. */
byte leaderOf[TERMS + 1];
byte doneLen;
byte doneTerm[ENTRIES];       /* term of the committed entry */
byte doneVoters[ENTRIES];
byte doneIn[ENTRIES];         /* term of the leader that committed it */

byte j, k, n, m, last, lastJ, voters, newTerm;
bit ok;

inline votersOf(x) {
  if
  :: s[x].size == 0 -> voters = FIRST_VOTERS
  :: else -> voters = s[x].logVoters[s[x].size - 1]
  fi
}

/* Sets ok where `mask` holds a majority of `voters`. */
inline majority(mask) {
  n = 0; m = 0; k = 0;
  do
  :: k < SERVERS ->
     if
     :: voters & (1 << k) ->
        n++;
        if :: mask & (1 << k) -> m++ :: else fi
     :: else
     fi;
     k++
  :: else -> break
  od;
  ok = (2 * m > n)
}

inline forget(x) {
  s[x].votes = 0;
  k = 0;
  do :: k < SERVERS -> s[x].match[k] = 0; k++ :: else -> break od;
  k = 0
}

inline raise(x) {             /* to the term in `newTerm` */
  if
  :: newTerm > s[x].term ->
     s[x].term = newTerm; s[x].vote = NONE; s[x].role = 0; forget(x)
  :: else
  fi
}

inline campaign(x) {
  s[x].term++;
  s[x].vote = x;
  s[x].role = 1;
  forget(x);
  s[x].votes = 1 << x
}

/* Server y answers the request for a vote of candidate x; `heard` whether x gets the answer. */
inline giveVote(x, y, heard) {
  newTerm = s[x].term;
  raise(y);
  if :: s[x].size == 0 -> last = 0 :: else -> last = s[x].logTerm[s[x].size - 1] fi;
  if :: s[y].size == 0 -> lastJ = 0 :: else -> lastJ = s[y].logTerm[s[y].size - 1] fi;
#ifdef NO_LOG_CHECK
  ok = true;
#else
  ok = (last > lastJ || (last == lastJ && s[x].size >= s[y].size));
#endif
#ifndef NO_VOTE_MEMORY
  ok = ok && (s[y].vote == NONE || s[y].vote == x);
#endif
#ifndef VOTE_AFTER_LOSS
  ok = ok && !s[y].lost;
#endif
  ok = ok && s[y].term == s[x].term;
  if
  :: ok ->
     s[y].vote = x;
     if :: heard -> s[x].votes = s[x].votes | (1 << y) :: else fi
  :: else
  fi
}

inline append(x, mask) {
  s[x].logTerm[s[x].size] = s[x].term;
  s[x].logVoters[s[x].size] = mask;
  s[x].size++;
  s[x].match[x] = s[x].size
}

inline lead(x) {
  s[x].role = 2;
  assert(leaderOf[s[x].term] == NONE || leaderOf[s[x].term] == x);  /* one leader a term */
  leaderOf[s[x].term] = x;
  k = 0;
  do
  :: k < doneLen ->
     if
     :: doneIn[k] < s[x].term ->
        /* a new leader holds every entry that was committed before its term */
        assert(s[x].size > k && s[x].logTerm[k] == doneTerm[k])
     :: else
     fi;
     k++
  :: else -> break
  od;
  s[x].votes = 0;
  s[x].match[x] = s[x].size;
  votersOf(x);
  if :: s[x].size < ENTRIES -> append(x, voters) :: else fi
}

/* Leader x sends its first `upTo` entries to y; `heard` whether it gets the answer. */
inline replicate(x, y, upTo, heard) {
  newTerm = s[x].term;
  raise(y);
  if
  :: s[y].term == s[x].term ->
     assert(s[y].role != 2);
     s[y].role = 0;
     s[y].votes = 0;
     ok = (s[y].size >= upTo);
     k = 0;
     do
     :: k < upTo && ok -> ok = (s[y].logTerm[k] == s[x].logTerm[k]); k++
     :: else -> break
     od;
     if
     :: ok                    /* nothing new: an old message never cuts the log */
     :: else ->
        k = 0;
        do
        :: k < upTo ->
           /* a committed entry is never replaced */
           assert(k >= s[y].commit || s[y].logTerm[k] == s[x].logTerm[k]);
           s[y].logTerm[k] = s[x].logTerm[k];
           s[y].logVoters[k] = s[x].logVoters[k];
           k++
        :: else -> break
        od;
        do
        :: k < s[y].size -> s[y].logTerm[k] = 0; s[y].logVoters[k] = 0; k++
        :: else -> break
        od;
        s[y].size = upTo
     fi;
     if :: s[x].commit < upTo -> n = s[x].commit :: else -> n = upTo fi;
     if :: n > s[y].commit -> s[y].commit = n :: else fi;
     if
     :: heard && !s[y].lost && upTo > s[x].match[y] -> s[x].match[y] = upTo
     :: else
     fi
  :: else
  fi
}

/* Sets j to the mask of servers known to hold `upTo` entries of x. */
inline holders(x, upTo) {
  j = 0; k = 0;
  do
  :: k < SERVERS ->
     if :: s[x].match[k] >= upTo -> j = j | (1 << k) :: else fi;
     k++
  :: else -> break
  od
}

inline commitTo(x, upTo) {
  k = 0;
  do
  :: k < upTo ->
     if
     :: k < doneLen ->
        assert(doneTerm[k] == s[x].logTerm[k] && doneVoters[k] == s[x].logVoters[k])
     :: else ->
        doneTerm[k] = s[x].logTerm[k];
        doneVoters[k] = s[x].logVoters[k];
        doneIn[k] = s[x].term;
        doneLen = k + 1
     fi;
     k++
  :: else -> break
  od;
  s[x].commit = upTo
}

/* The voters changed by one, where leader x may change them; ok tells. */
inline mayChange(x) {
  votersOf(x);
#ifdef TWO_CHANGES
  ok = true
#else
  /* the last change is committed, and so is an entry of the own term */
  ok = s[x].commit > 0 && s[x].logTerm[s[x].commit - 1] == s[x].term;
  k = s[x].commit;
  do
  :: k < s[x].size ->
     if :: k > 0 -> ok = ok && s[x].logVoters[k] == s[x].logVoters[k - 1] :: else fi;
     k++
  :: else -> break
  od
#endif
}

active proctype any() {
  byte x, y, upTo;
  bit heard;
  d_step {
    x = 0;
    do
    :: x <= TERMS -> leaderOf[x] = NONE; x++
    :: else -> break
    od;
    x = 0;
    do
    :: x < SERVERS -> s[x].vote = NONE; x++
    :: else -> break
    od;
    x = 0
  }
  do
  :: atomic {
       select(x : 0 .. SERVERS - 1);
       if
       :: d_step { s[x].term < TERMS && s[x].role != 2 && !s[x].lost -> votersOf(x); }
          if
          :: d_step { voters & (1 << x) -> campaign(x) }
          :: else
          fi
       :: s[x].role == 1 ->
          select(y : 0 .. SERVERS - 1);
          votersOf(x);
          if
          :: d_step { y != x && (voters & (1 << y)) && s[y].term <= s[x].term -> giveVote(x, y, 1) }
          :: d_step { y != x && (voters & (1 << y)) && s[y].term <= s[x].term -> giveVote(x, y, 0) }
          :: else
          fi
       :: d_step { s[x].role == 1 -> votersOf(x); majority(s[x].votes) }
          if
          :: d_step { ok -> lead(x) }
          :: else
          fi
       :: s[x].role == 2 ->
          select(y : 0 .. SERVERS - 1);
          select(upTo : 1 .. ENTRIES);
          if
          :: d_step { y != x && upTo <= s[x].size && s[y].term <= s[x].term -> replicate(x, y, upTo, 1) }
          :: d_step { y != x && upTo <= s[x].size && s[y].term <= s[x].term -> replicate(x, y, upTo, 0) }
          :: else
          fi
       :: s[x].role == 2 ->
          select(upTo : 1 .. ENTRIES);
          if
          :: d_step {
               upTo <= s[x].size && upTo > s[x].commit && COUNTS(x, upTo) ->
               holders(x, upTo);
               votersOf(x);
               majority(j)
             }
             if
             :: d_step { ok -> commitTo(x, upTo) }
             :: else
             fi
          :: else
          fi
       :: s[x].role == 2 && s[x].size < ENTRIES ->
          d_step { mayChange(x) }
          if
          :: ok ->
             select(y : 0 .. SERVERS - 1);
             if
             :: d_step {
                  !s[y].lost && (voters ^ (1 << y)) != 0 ->
                  votersOf(x);
                  append(x, voters ^ (1 << y))
                }
             :: else
             fi
          :: else
          fi
       :: d_step { s[x].role != 0 -> s[x].role = 0; forget(x) }          /* restart */
#ifdef FORM_BY_REPORTS
       :: d_step {
            s[x].size == 0 && s[x].term < TERMS && !s[x].lost ->
            j = 0; k = 0;
            do
            :: k < SERVERS -> if :: s[k].size == 0 -> j = j | (1 << k) :: else fi; k++
            :: else -> break
            od;
            votersOf(x);
            majority(j)
          }
          if
          :: d_step {
               ok ->
               s[x].term++; s[x].vote = NONE; s[x].role = 0; forget(x);
               append(x, FIRST_VOTERS);
               forget(x)
             }
          :: else
          fi
#endif
#ifdef LOSS
       :: d_step {                                                        /* empty disk */
            !s[0].lost && !s[1].lost && !s[2].lost && !s[SERVERS - 1].lost ->
            s[x].lost = 1; s[x].term = 0; s[x].vote = NONE; s[x].role = 0; s[x].commit = 0;
            forget(x);
            k = 0;
            do
            :: k < s[x].size -> s[x].logTerm[k] = 0; s[x].logVoters[k] = 0; k++
            :: else -> break
            od;
            s[x].size = 0
          }
#endif
       :: else
       fi;
       d_step { newTerm = 0; j = 0; k = 0; n = 0; m = 0; last = 0; lastJ = 0; voters = 0; ok = 0; x = 0; y = 0; upTo = 0; heard = 0 }
     }
  od
}
