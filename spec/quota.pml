/* The lease of a shard's grantor. Two candidates ask three daemons for support; a quorum is two.

   A daemon that supports a candidate supports no other for LEASE ticks from when it says so, and
   none for LEASE ticks after its own start. A candidate counts a lease from when it asked. Messages
   may be lost, late and in any order; a daemon may restart at any time and then knows nothing of
   what it promised. A candidate that restarts merely has no leases, which is no risk. Time is discrete; in one tick any number of other steps may happen.

   Mutations: NO_WAIT lets a daemon support a candidate right after its start; FROM_RECEIPT counts a
   lease from when the answer arrives; EARLY lets a daemon support another candidate before its
   promise has ended; HALF takes one daemon for a quorum; LAST_ROUND counts each lease from the
   candidate's last round, whichever the answer is to. */

#define DAEMONS 3
#define LEASE 2
#define END 4       /* the ticks of a run */
#ifdef HALF
#define QUORUM 1
#else
#define QUORUM 2
#endif
#define NOBODY 2
#ifdef EARLY
#define FREE true
#else
#define FREE (promised[d] == NOBODY || promised[d] == c || now >= until[d])
#endif

byte now = 0;
byte asked[2];             /* when each candidate began its present round, plus 1; 0: never */
byte lease[6];             /* until when candidate c holds the lease of daemon d, at c * 3 + d */
byte promised[DAEMONS] = NOBODY;  /* whom each daemon supports */
byte until[DAEMONS];       /* until when */
byte quiet[DAEMONS];       /* until when a daemon that has started supports nobody */
/* An answer that is on its way from daemon d to candidate c: its round's time plus 1; 0: none. */
byte answer[6];
byte restarts = 0;

inline count(c, result) {
  result = 0;
  if :: lease[c * 3] > now -> result++ :: else -> skip fi;
  if :: lease[c * 3 + 1] > now -> result++ :: else -> skip fi;
  if :: lease[c * 3 + 2] > now -> result++ :: else -> skip fi
}

inline check() {
  count(0, first);
  count(1, second);
  assert(!(first >= QUORUM && second >= QUORUM));
  first = 0;
  second = 0
}

active proctype world() {
  byte c, d, first, second;
  do
  :: atomic {
      now < END ->
      now++;
      /* What has ended is forgotten, so that fewer states differ. */
      do
      :: c < 6 ->
         if :: lease[c] <= now -> lease[c] = 0 :: else -> skip fi;
         c++
      :: else -> break
      od;
      do
      :: d < DAEMONS ->
         if :: until[d] <= now -> until[d] = 0; promised[d] = NOBODY :: else -> skip fi;
         if :: quiet[d] <= now -> quiet[d] = 0 :: else -> skip fi;
         d++
      :: else -> break
      od;
      c = 0; d = 0
    }
  :: now == END -> break
  :: atomic {
      if :: c = 0 :: c = 1 fi;
      /* Begins a round: asks all daemons. A request that arrives later than the next round begins
         only makes the lease shorter, so just those of the last round are handled. */
      asked[c] = now + 1;
      c = 0
    }
  :: atomic {
      if :: c = 0 :: c = 1 fi;
      if :: d = 0 :: d = 1 :: d = 2 fi;
      if
      :: asked[c] > 0 ->
         if
         :: now >= quiet[d] && FREE ->
            promised[d] = c;
            until[d] = now + LEASE;
            answer[c * 3 + d] = asked[c]
         :: else -> skip
         fi
      :: else -> skip
      fi;
      c = 0; d = 0
    }
  :: atomic {
      if :: c = 0 :: c = 1 fi;
      if :: d = 0 :: d = 1 :: d = 2 fi;
      if
      :: answer[c * 3 + d] > 0 && asked[c] > 0 ->
#ifdef FROM_RECEIPT
         lease[c * 3 + d] = now + LEASE;
#else
#ifdef LAST_ROUND
         lease[c * 3 + d] = asked[c] - 1 + LEASE;
#else
         lease[c * 3 + d] = answer[c * 3 + d] - 1 + LEASE;
#endif
#endif
         answer[c * 3 + d] = 0;
         check()
      :: else -> skip
      fi;
      c = 0; d = 0
    }
  :: atomic {
      restarts < 1 ->
      restarts++;
      if :: d = 0 :: d = 1 :: d = 2 fi;
      /* A daemon restarts as a supporter. */
      promised[d] = NOBODY;
      until[d] = 0;
#ifdef NO_WAIT
      quiet[d] = now;
#else
      quiet[d] = now + LEASE;
#endif
      d = 0
    }
  od
}
