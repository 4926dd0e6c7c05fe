/* Who may feed a cold worker, and measure it: views, supports, leases and pauses.
 *
 * Three daemons are listed; a majority is two. A view is one bit here: in view v the worker's
 * home is daemon v, so that views 0 and 1 disagree about it. Time passes in ticks. Instead of
 * clocks the model keeps ages and remaining times, so that it has no end.
 *
 * Messages may take any time or never arrive: an answer to a question is taken whenever the
 * answering daemon likes while the question is still good for something. A daemon may pause
 * between its check and its sending for as long as it likes.
 *
 * With MEASURE the measuring budget is checked, without it the cold worker.
 *
 * Mutations, each of which the checker must refute:
 *   NO_SETTLE   a view is supported at once, not after SETTLE ticks
 *   NO_QUORUM   a daemon acts without support of another
 *   NO_EXPIRY   work carries no end, and the worker takes it however late
 *   LATE_LEASE  a support counts from its arrival, not from its question
 *   NO_FILL     the measuring window isn't filled when the permission is gained
 */

#define DAEMONS 3
#ifndef LEASE
#define LEASE 1
#endif
#define SETTLE (LEASE + 1)
/* Ticks between two measuring requests: a budget of one in a window of so many ticks. */
#define WINDOW (LEASE + 2)

#ifdef NO_SETTLE
#define SETTLED(d) true
#else
#define SETTLED(d) (age[d] >= SETTLE)
#endif

byte view[DAEMONS];           /* the view that each daemon has */
byte age[DAEMONS];            /* ticks since it changed, at most SETTLE */
byte asked[4];                /* asked[2*a+i]: ticks that an answer would be good for */
byte support[4];              /* ticks that a support is still good for */
byte supports[4];             /* the view that it is for */
#ifdef LATE_LEASE
byte said[4];                /* a view on its way as an answer, plus one; 0 for none */
#endif
byte flying[2];               /* ticks until a request at the worker must have ended */
byte held[2];                 /* ticks left of a request that is checked and not yet sent */
bool holds[2];                /* whether there is such a request */
byte window[2];               /* ticks until this daemon's window is open */
bool may[2];                  /* whether this daemon had the permission at the last look */
byte probed;                  /* ticks since anybody measured, at most WINDOW */

/* The daemon whose answer is in place i of daemon a's two. */
inline other(a, i, d) {
  d = (a + 1 + i) % DAEMONS
}

/* Ticks for which daemon a may act; 0 for not at all. */
inline permission(a, p) {
  p = 0;
#ifdef NO_QUORUM
  p = LEASE;
#else
  if
  :: support[2*a] > 0 && supports[2*a] == view[a] -> p = support[2*a]
  :: else
  fi;
  if
  :: support[2*a+1] > p && supports[2*a+1] == view[a] -> p = support[2*a+1]
  :: else
  fi;
#endif
  if
  :: !SETTLED(a) -> p = 0
  :: else
  fi;
  if
  :: view[a] != a -> p = 0
  :: else
  fi
}

inline less(x) {
  if
  :: x > 0 -> x--
  :: else
  fi
}

/* Whether daemon a gains the permission that it had not; then its window is filled. */
inline look(a, p) {
  permission(a, p);
#ifndef NO_FILL
  if
  :: p > 0 && !may[a] -> window[a] = WINDOW
  :: else
  fi;
#endif
  may[a] = (p > 0)
}

active proctype fleet() {
  byte a, i, d, p;
  age[0] = SETTLE; age[1] = SETTLE; age[2] = SETTLE;
  probed = WINDOW;
  do
  /* Time passes for all. */
  :: atomic {
       for (d : 0 .. DAEMONS - 1) {
         if
         :: age[d] < SETTLE -> age[d]++
         :: else
         fi
       }
       for (i : 0 .. 3) {
         less(asked[i]);
         less(support[i])
       }
       for (a : 0 .. 1) {
#ifndef NO_EXPIRY
         less(flying[a]);
         less(held[a]);
#endif
         less(window[a])
       }
       if
       :: probed < WINDOW -> probed++
       :: else
       fi;
       look(0, p);
       look(1, p);
       a = 0; i = 0; d = 0; p = 0
     }
  /* A daemon's view changes. */
  :: atomic {
       select(d : 0 .. DAEMONS - 1);
       view[d] = 1 - view[d];
       age[d] = 0;
       if
       :: d < 2 -> look(d, p)
       :: else
       fi;
       d = 0; p = 0
     }
  /* A daemon asks another for its support. */
  :: atomic {
       select(i : 0 .. 3);
       asked[i] = LEASE;
       i = 0
     }
#ifdef LATE_LEASE
  /* The other answers, and its answer takes any time; it counts from its arrival. */
  :: atomic {
       select(i : 0 .. 3);
       a = i / 2;
       other(a, i % 2, d);
       if
       :: said[i] == 0 && SETTLED(d) -> said[i] = view[d] + 1
       :: said[i] > 0 -> support[i] = LEASE; supports[i] = said[i] - 1; said[i] = 0; look(a, p)
       :: else
       fi;
       a = 0; i = 0; d = 0; p = 0
     }
#else
  /* The other answers with its view. */
  :: atomic {
       select(i : 0 .. 3);
       a = i / 2;
       other(a, i % 2, d);
       if
       :: asked[i] > 0 && SETTLED(d) ->
          support[i] = asked[i];
          supports[i] = view[d];
          asked[i] = 0;
          look(a, p)
       :: else
       fi;
       a = 0; i = 0; d = 0; p = 0
     }
#endif
#ifndef MEASURE
  /* A home checks its permission for one request to the cold worker, then may pause. */
  :: atomic {
       select(a : 0 .. 1);
       permission(a, p);
       if
       :: p > 0 && flying[a] == 0 && !holds[a] -> holds[a] = true; held[a] = p
       :: else
       fi;
       a = 0; p = 0
     }
  /* It sends; the worker refuses what comes after its end. */
  :: atomic {
       select(a : 0 .. 1);
       if
       :: holds[a] && held[a] > 0 -> flying[a] = held[a]
       :: else
       fi;
       holds[a] = false;
       held[a] = 0;
       /* A cold worker never has more than it bears, which is one. */
       assert(flying[0] == 0 || flying[1] == 0);
       a = 0
     }
  /* The worker answers. */
  :: atomic {
       select(a : 0 .. 1);
       flying[a] = 0;
       a = 0
     }
#else
  /* A home measures. */
  :: atomic {
       select(a : 0 .. 1);
       look(a, p);
       if
       :: p > 0 && window[a] == 0 ->
          /* Never more than the budget in a window, whoever measures. */
          assert(probed >= WINDOW);
          probed = 0;
          window[a] = WINDOW
       :: else
       fi;
       a = 0; p = 0
     }
#endif
  od
}
