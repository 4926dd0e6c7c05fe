/* The site's generations: two operators, a platform that loses answers and goes down, daemons
 * that take a generation from the platform or from a peer, and that restart with nothing.
 *
 * A write is conditional on the version that the operator read; a write whose answer was lost is
 * settled by reading back, and repeated only with the same version.
 *
 * Mutations, each of which the checker must refute:
 *   BLIND      an operator writes without naming the version that it read
 *   NO_SETTLE  an operator takes a lost answer for a failure and says so
 *   REVERT     a daemon takes whatever a peer has
 *   MINORITY   a fresh daemon is content with fewer than so many of the others
 *   EAGER      a fresh daemon serves before anybody has told it what is newest
 */

#define OPERATORS 2
#define DAEMONS 3
#define MOST 4

/* Whether a daemon with this in force has told me something, and nothing newer than I have. */
#define HEARD(other) (other > 0 && other <= force[me])
#define FIRST HEARD(force[(me + 1) % DAEMONS])
#define SECOND HEARD(force[(me + 2) % DAEMONS])
#ifdef MINORITY
#define ENOUGH (FIRST || SECOND)
#else
#define ENOUGH (FIRST && SECOND)
#endif

byte version;             /* the platform's root */
bool holds[OPERATORS];    /* whether the root has an operator's change */
bool up = true;           /* whether the platform answers */
byte told[OPERATORS];     /* 0 nothing yet, 1 published, 2 not published */
byte force[DAEMONS];      /* the generation in force at each daemon, 0 for none */
bool serves[DAEMONS];     /* whether it serves */
byte best[DAEMONS];       /* the newest that it served in this life */
byte floor;               /* the newest that most daemons served at some time */

active [OPERATORS] proctype operator() {
  byte me = _pid;
  byte read;
  bool lost = false;
again:
  atomic {
    up ->
    read = version;
    if
    :: holds[me] -> told[me] = 1; goto end_done
    :: else
    fi
  }
  if
  :: atomic {
       up && version < MOST ->
       if
#ifdef BLIND
       :: version != read ->
          /* The root that was read is written back: what came since is gone. */
          holds[1 - me] = false;
#else
       :: version != read -> goto again
#endif
       :: version == read -> skip
       fi;
       version++;
       holds[me] = true;
       if
       :: told[me] = 1; goto end_done
       :: lost = true
       fi
     }
  :: atomic { !up -> lost = lost }
  fi;
  if
#ifdef NO_SETTLE
  :: lost -> told[me] = 2; goto end_done
#endif
  :: goto again
  fi;
end_done:
  skip
}

active proctype platform() {
end:
  do
  :: up = false
  :: up = true
  od
}

/* The promises about a daemon that is about to put generation g in force. */
inline put(d, g) {
  assert(g >= best[d]);
  force[d] = g;
  if
  :: serves[d] -> best[d] = g
  :: else
  fi
}

active [DAEMONS] proctype daemon() {
  byte me = _pid - OPERATORS - 1;
  byte peer;
end:
  do
  /* It reads the platform. */
  :: atomic {
       up && version > 0 ->
       if
       :: version > force[me] -> put(me, version)
       :: else
       fi;
       serves[me] = true;
       best[me] = force[me]
     }
  /* A peer tells it what it has. */
  :: atomic {
       select(peer : 0 .. DAEMONS - 1);
       if
#ifdef REVERT
       :: force[peer] > 0 -> put(me, force[peer])
#endif
       :: force[peer] > force[me] -> put(me, force[peer])
       :: else
       fi
     }
#ifdef EAGER
  :: atomic {
       force[me] > 0 && !serves[me] ->
       serves[me] = true;
       best[me] = force[me];
       assert(force[me] >= floor)
     }
#else
  /* So many have told it that one of them has what most daemons had, even without itself. */
  :: atomic {
       force[me] > 0 && !serves[me] ->
       if
       :: ENOUGH ->
          serves[me] = true;
          best[me] = force[me];
          assert(force[me] >= floor)
       :: else
       fi
     }
#endif
  /* What most daemons have in force at some time, a fresh one must not fall behind. */
  :: atomic {
       serves[me] ->
       if
       :: force[0] >= force[me] && force[1] >= force[me] -> floor = (force[me] > floor -> force[me] : floor)
       :: force[0] >= force[me] && force[2] >= force[me] -> floor = (force[me] > floor -> force[me] : floor)
       :: force[1] >= force[me] && force[2] >= force[me] -> floor = (force[me] > floor -> force[me] : floor)
       :: else
       fi
     }
  /* It is replaced; never two before one of them has caught up. */
  :: atomic {
       serves[0] && serves[1] && serves[2] ->
       force[me] = 0;
       serves[me] = false;
       best[me] = 0
     }
  od
}

/* What was called published stays in the root, and what was called not published isn't there. */
active proctype observer() {
end:
  do
  :: assert(told[0] != 1 || holds[0])
  :: assert(told[1] != 1 || holds[1])
  :: assert(told[0] != 2 || !holds[0])
  :: assert(told[1] != 2 || !holds[1])
  od
}
