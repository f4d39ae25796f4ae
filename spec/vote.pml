/*
 * Leader leases: at most one server holds the lease, whatever terms the servers learn of.
 *
 * A leader holds the lease while a quorum has answered calls that it sent within LEASE. A server
 * that answers a call promises to vote for no other leader for PROMISE. All times are timers that
 * count down, or ages that count up to the bound at which they no longer matter; all run at one
 * rate. Calls, answers and requests for votes take any time. A server may learn of the term of any
 * other at any time, as by an answer that comes late.
 *
 * Defining one of FORGET_PROMISE, VOTE_AFTER_RESTART, NO_PROMISE or LEASE_FROM_ANSWER leaves out
 * one rule.
 */

#define SERVERS 3
#define QUORUM 2

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEASE
#define LEASE 2               /* how long a leader relies on an answered call, from its sending */
#endif
#ifndef PROMISE
#define PROMISE 2             /* how long a voter keeps to the leader that it answered */
#endif

typedef Server {
  byte term;
  bool leads;
  bool stands;                /* a candidate of its term */
  bool voted;                 /* has voted in its term */
  byte promise;               /* rest of its promise */
  byte votes;                 /* as a candidate, the servers that voted for it, as bits */
  byte counted[SERVERS];      /* as a leader, rest of the time for which an answer counts */
  byte call[SERVERS];         /* as a leader, a call: 0 none, 1 sent, 2 answered */
  byte age[SERVERS]           /* age of that call */
}

Server s[SERVERS];

/* With three servers, one other makes a quorum. */
#define HOLDS(x) (s[x].leads && (s[x].counted[(x + 1) % 3] > 0 || s[x].counted[(x + 2) % 3] > 0))
#define ELECTED(v) (v == 3 || v == 5 || v == 6 || v == 7)

#ifdef LEASE_FROM_ANSWER
#define SPENT(x, y) 0
#else
#define SPENT(x, y) s[x].age[y]
#endif

inline countdown(timer) {
  if :: timer > 0 -> timer-- :: else fi
}

inline older(i, j) {
  if :: s[i].call[j] && s[i].age[j] < LEASE -> s[i].age[j]++ :: else fi;
  countdown(s[i].counted[j])
}

inline drop(i, j) {
  s[i].call[j] = 0; s[i].age[j] = 0
}

inline forget(k) {
  drop(k, 0); drop(k, 1); drop(k, 2);
  s[k].counted[0] = 0; s[k].counted[1] = 0; s[k].counted[2] = 0;
  s[k].leads = false; s[k].stands = false; s[k].votes = 0
}

inline raise(m, later) {
  s[m].term = later; s[m].voted = false; forget(m)
}

/* Server x learns of the term of y by an answer. */
inline learn(p, q) {
  raise(p, s[q].term);
#ifdef FORGET_PROMISE
  s[p].promise = 0;
#endif
  skip
}

inline tick() {
  countdown(s[0].promise); countdown(s[1].promise); countdown(s[2].promise);
  older(0, 1); older(0, 2); older(1, 0); older(1, 2); older(2, 0); older(2, 1)
}

/* Server x, which keeps no promise, becomes a candidate. */
inline stand(p) {
  raise(p, s[p].term + 1);
  s[p].stands = true; s[p].voted = true; s[p].votes = 1 << p
}

/* Server y votes for the candidate x; a leader with the lease, or a bound voter, does not. */
inline vote(p, q) {
  if :: s[p].term > s[q].term -> raise(q, s[p].term) :: else fi;
  s[q].voted = true;
  s[p].votes = s[p].votes | (1 << q)
}

#ifdef NO_PROMISE
#define MAY_VOTE(y) (!HOLDS(y))
#else
#define MAY_VOTE(y) (!HOLDS(y) && s[y].promise == 0)
#endif

/* Server y answers a call of the leader x. */
inline answer(p, q) {
  if :: s[p].term > s[q].term -> raise(q, s[p].term) :: else forget(q) fi;
  s[q].promise = PROMISE;
  s[p].call[q] = 2
}

inline count(p, q) {
  if
  :: LEASE > SPENT(p, q) && LEASE - SPENT(p, q) > s[p].counted[q] ->
       s[p].counted[q] = LEASE - SPENT(p, q)
  :: else
  fi;
  drop(p, q)
}

inline restart(p) {
  forget(p);
#ifdef VOTE_AFTER_RESTART
  s[p].promise = 0;
#else
  s[p].promise = PROMISE;
#endif
  skip
}

active proctype any() {
  byte x, y;
  do
  :: d_step { true -> tick(); x = 0; y = 0 }

  /* Two different servers. */
  :: atomic {
       select(x : 0 .. 2);
       select(y : 0 .. 2);
       if
       /* A candidate, its votes and its election. */
       :: s[x].promise == 0 && !s[x].leads && s[x].term < TERMS -> stand(x)
       :: x != y && s[x].stands && s[x].term > s[y].term && MAY_VOTE(y) -> vote(x, y)
       :: x != y && s[x].stands && s[x].term == s[y].term && !s[y].voted && MAY_VOTE(y) -> vote(x, y)
       :: s[x].stands && !s[x].leads && ELECTED(s[x].votes) -> s[x].leads = true; s[x].stands = false

       /* Calls of a leader, and their answers. */
       :: x != y && s[x].leads && s[x].call[y] == 0 -> s[x].call[y] = 1
       :: x != y && s[x].leads && s[x].call[y] == 1 && s[x].term >= s[y].term -> answer(x, y)
       :: x != y && s[x].leads && s[x].call[y] == 2 -> count(x, y)
       :: x != y && s[x].call[y] != 0 -> drop(x, y)

       /* A late answer names a later term; a server restarts. */
       :: x != y && s[y].term > s[x].term -> learn(x, y)
       :: restart(x)
       :: else
       fi;
       assert(!(HOLDS(0) && HOLDS(1)) && !(HOLDS(0) && HOLDS(2)) && !(HOLDS(1) && HOLDS(2)));
       x = 0; y = 0
     }
  od
}
