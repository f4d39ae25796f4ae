/*
 * Configuration leases: a release in force everywhere, and owners that hand over.
 *
 * Every time is a timer that counts down, or an age that counts up to the bound
 * at which it no longer matters; all run at one rate, and any number of steps
 * falls between two ticks, so that time itself has no bound. Server 0 and then
 * server 1 leads; node 0 is a relay that follows the leader, and node 1 follows
 * the relay. Release v is accepted by a commit of the leader. Node 0 is the
 * owner of one upstream under odd releases and node 1 under even ones, which
 * stands for any change of owner.
 *
 * Defining one of FULL_LEASE, COUNT_FROM_REPLY, NO_LEADER_LEASE, NO_WAIT or
 * EARLY_REPORT leaves out one rule.
 */

#ifndef LEASE
#define LEASE 3               /* length of a configuration lease */
#endif
#ifndef GRANT
#define GRANT 1               /* longest life of an owner's grant */
#endif
#ifndef QUORUM
#define QUORUM 2              /* how long voters wait for a leader that they answered */
#endif
#ifndef RELEASES
#define RELEASES 4
#endif

byte leader;                  /* the server that a quorum follows */
byte quorumLeft;              /* how long the first leader is sure that no other leads */
byte release = 1;             /* committed */
byte commitAge = LEASE;
byte oldRelease = 1;          /* what the first leader believes to be committed */
byte inForce = 1;             /* highest release reported in force */

byte held[2] = 1;             /* release applied */
byte lease[2];                /* rest of the lease */
byte wait[2];                 /* rest of an owner's wait since it learned of the release */
byte asked[2];                /* a request for a lease: 0 none, 1 sent, 2 answered */
byte age[2];                  /* age of that request */
byte given[2];                /* lease that the answer gives */
byte told[2];                 /* release that the answer tells */
byte grant[2];                /* rest of the last grant given as owner */

#define OWNS(x) ((held[x] % 2 == 1 && x == 0) || (held[x] % 2 == 0 && x == 1))

#ifdef NO_LEADER_LEASE
#define FIRST_IS_SURE (true)
#else
#define FIRST_IS_SURE (quorumLeft > 0)
#endif

#ifdef NO_WAIT
#define SETTLED(x) (true)
#else
#define SETTLED(x) (wait[x] == 0)
#endif

#ifdef EARLY_REPORT
#define RUN_OUT (commitAge >= LEASE - 1)
#else
#define RUN_OUT (commitAge >= LEASE)
#endif

#ifdef COUNT_FROM_REPLY
#define SPENT(x) 0
#else
#define SPENT(x) age[x]
#endif

#ifdef FULL_LEASE
#define RELAYED LEASE
#else
#define RELAYED lease[0]
#endif

inline countdown(timer) {
  if :: timer > 0 -> timer-- :: else fi
}

inline tick() {
  countdown(quorumLeft);
  countdown(lease[0]); countdown(lease[1]);
  countdown(wait[0]); countdown(wait[1]);
  countdown(grant[0]); countdown(grant[1]);
  if :: commitAge < LEASE -> commitAge++ :: else fi;
  if :: asked[0] && age[0] < LEASE -> age[0]++ :: else fi;
  if :: asked[1] && age[1] < LEASE -> age[1]++ :: else fi;
  skip
}

inline drop(x) {
  asked[x] = 0; age[x] = 0; given[x] = 0; told[x] = 0
}

inline answer(x, ms, what) {
  asked[x] = 2; given[x] = ms; told[x] = what
}

/* Takes the answer: its release, and its lease counted from when the request was sent. */
inline take(x) {
  if
  :: told[x] > held[x] -> held[x] = told[x]; wait[x] = LEASE + GRANT
  :: else
  fi;
  if
  :: given[x] > SPENT(x) && given[x] - SPENT(x) > lease[x] -> lease[x] = given[x] - SPENT(x)
  :: else
  fi;
  drop(x)
}

active proctype any() {
  do
  :: d_step { true -> tick() }

  /* The first leader is answered by a quorum. */
  :: d_step { leader == 0 -> quorumLeft = QUORUM }

  /* The other server is elected once no voter still waits for the first. */
  :: d_step { leader == 0 && quorumLeft == 0 -> leader = 1 }

  :: d_step { release < RELEASES ->
       release++;
       commitAge = 0;
       if :: leader == 0 -> oldRelease = release :: else fi;
       skip
     }

  /* A release is reported once every lease under an older one has run out, or all applied it. */
  :: d_step { inForce < release && RUN_OUT -> inForce = release }
  :: d_step { inForce < release && held[0] == release && held[1] == release -> inForce = release }

  /* A node asks for a lease; request and answer take any time, or are lost. */
  :: d_step { asked[0] == 0 -> asked[0] = 1 }
  :: d_step { asked[1] == 0 -> asked[1] = 1 }
  :: d_step { asked[0] == 2 -> take(0) }
  :: d_step { asked[1] == 2 -> take(1) }
  :: d_step { asked[0] != 0 -> drop(0) }
  :: d_step { asked[1] != 0 -> drop(1) }

  /* The relay is answered by the first leader while that is sure, or by the one that leads. */
  :: d_step { asked[0] == 1 && FIRST_IS_SURE -> answer(0, LEASE, oldRelease) }
  :: d_step { asked[0] == 1 && leader == 1 -> answer(0, LEASE, release) }

  /* The other node is answered by the relay, which gives what is left of its own lease. */
  :: d_step { asked[1] == 1 && lease[0] > 0 -> answer(1, RELAYED, held[0]) }

  /* A node under lease takes new work, never under an older release than reported. */
  :: d_step { lease[0] > 0 -> assert(held[0] >= inForce) }
  :: d_step { lease[1] > 0 -> assert(held[1] >= inForce) }

  /* An owner under lease gives a grant, never while a grant of another owner may live. */
  :: d_step { lease[0] > 0 && OWNS(0) && SETTLED(0) -> assert(grant[1] == 0); grant[0] = GRANT }
  :: d_step { lease[1] > 0 && OWNS(1) && SETTLED(1) -> assert(grant[0] == 0); grant[1] = GRANT }
  od
}
