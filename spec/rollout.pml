/* The exposure of a rollout's target version while daemons know different things.

   Two daemons serve a fixed number of requests each. The rollout's object is written to the store
   first; then a worker of the target version starts, and its entry reaches each daemon at its own
   moment, before or after the object does. Two deciders write a verdict: rolled
   back, or the shift and then completed. Each daemon learns of the object, of the shift and of the
   verdict at its own moment. A request in flight at an old worker ends at some time.

   Asserted: the exposed requests are at most the share of all requests and the slack until the
   shift; no daemon sends to the target version that it knows no rollout of; at completed no request
   is in flight at an old worker and none is sent there after; after the rollback is known to a
   daemon it sends nothing to the target; a decided state doesn't change.

   Mutations: NO_FRESHNESS uses a worker of an unknown version; WHOLE gives each daemon the share of
   all requests; NO_CONFIRM writes completed when the shift begins; NO_DRAIN confirms the shift while
   a request is in flight at an old worker; BLIND_WRITE writes a state without the condition on the
   object's revision, so that a second decider changes it. */

#define DAEMONS 2
#define REQUESTS 3     /* the requests of each daemon */
#define PART 2         /* one request in this many may be exposed */
#define SLACK 0

#define EXPOSING 0
#define SHIFTING 1

#define NONE 0
#define COMPLETED 1
#define ROLLED_BACK 2

bool entry[DAEMONS];      /* it knows the entry of the target's worker */
bool object[DAEMONS];     /* it knows the rollout's object */
bool shifted[DAEMONS];    /* it knows that the traffic shifts, and sends all requests to the target */
bool confirmed[DAEMONS];  /* it has told that it sends nothing to old workers any more */
byte verdict[DAEMONS];    /* the state that it knows */
byte requests[DAEMONS];   /* its requests so far */
byte exposed[DAEMONS];    /* those of them that went to the target before the shift */
byte flying[DAEMONS];     /* its requests in flight at old workers */
byte phase = EXPOSING;    /* as the decider knows it */
byte stored = NONE;       /* the state in the store */
byte writes = 0;          /* how often a verdict was written */

inline check_exposure() {
  assert((exposed[0] + exposed[1]) * PART <= requests[0] + requests[1] + SLACK * PART)
}

/* Whether daemon d may send one more of its requests to the target before the shift. */
#ifdef WHOLE
#define ADMITS(d) ((exposed[d] + 1) * PART <= DAEMONS * (requests[d] + 1))
#else
#define ADMITS(d) ((exposed[d] + 1) * PART <= requests[d] + 1)
#endif

proctype daemon(byte d) {
  do
  :: atomic { !entry[d] -> entry[d] = true }
  :: atomic { !object[d] -> object[d] = true }
  :: atomic { object[d] && phase == SHIFTING && !shifted[d] && verdict[d] == NONE -> shifted[d] = true }
  :: atomic { object[d] && stored != NONE && verdict[d] == NONE ->
       verdict[d] = stored;
       shifted[d] = (stored == COMPLETED) }
#ifdef NO_DRAIN
  :: atomic { shifted[d] && !confirmed[d] -> confirmed[d] = true }
#else
  :: atomic { shifted[d] && !confirmed[d] && flying[d] == 0 -> confirmed[d] = true }
#endif
  :: atomic { flying[d] > 0 -> flying[d]-- }
  /* To the target, within the share. */
#ifdef NO_FRESHNESS
  :: atomic { requests[d] < REQUESTS && entry[d] && !object[d] ->
       requests[d]++; exposed[d]++; assert(object[d]) }
#endif
  :: atomic { requests[d] < REQUESTS && entry[d] && object[d] && !shifted[d] && verdict[d] == NONE && ADMITS(d) ->
       requests[d]++; exposed[d]++; check_exposure() }
  /* To the target, after the shift. */
  :: atomic { requests[d] < REQUESTS && entry[d] && shifted[d] ->
       requests[d]++; assert(verdict[d] != ROLLED_BACK) }
  /* To an old worker. */
  :: atomic { requests[d] < REQUESTS && !shifted[d] ->
       assert(stored != COMPLETED);
       requests[d]++; flying[d]++ }
  :: atomic { requests[d] == REQUESTS && flying[d] == 0 && verdict[d] != NONE -> break }
  od
}

inline write(state) {
#ifdef BLIND_WRITE
  stored = state; writes++
#else
  if
  :: stored == NONE -> stored = state; writes++
  :: else -> skip
  fi
#endif
  ;
  assert(writes <= 1);
  assert(stored != COMPLETED || flying[0] + flying[1] == 0)
}

/* Two daemons that watch the store decide at the same time. */
proctype decider() {
  do
  :: atomic { stored == NONE && phase == EXPOSING -> phase = SHIFTING }
  :: atomic { stored == NONE -> break }
#ifdef NO_CONFIRM
  :: atomic { phase == SHIFTING -> write(COMPLETED); goto done }
#else
  :: atomic { phase == SHIFTING && confirmed[0] && confirmed[1] -> write(COMPLETED); goto done }
#endif
  :: stored != NONE -> goto done
  od;
  /* Between the decision and the write the other decider may write. */
  atomic { write(ROLLED_BACK) };
done: skip
}

init {
  atomic {
    run daemon(0); run daemon(1);
    run decider(); run decider()
  }
}
