/* The life of one request that must run at most once.
 *
 * Two daemons, each with lives; a caller with one key. A ticket is for one life of one daemon.
 * Daemons crash and forget, requests and answers are lost or late, the caller asks again, at the
 * right daemon or at a wrong one, and copies of its request may arrive long after. The worker may
 * refuse the request as not run.
 *
 * Mutations, each of which the checker must refute:
 *   NO_LIFE       a daemon doesn't look at the ticket's life
 *   NO_DAEMON     a daemon doesn't look at the ticket's daemon
 *   NO_MEMORY     a daemon doesn't remember keys
 *   FORGETS       a daemon forgets a key that it called not run
 *   RESEND        a daemon sends again after an answer was lost
 *   SAYS_NOT_RUN  a daemon calls a request not run whose answer was lost
 */

#define LIVES 1
#define TICKETS 2

/* What a daemon remembers of the key. */
#define NONE 0
#define RUNNING 1
#define RAN 2
#define LOST 3
#define REFUSED 4

/* What it answers. */
#define NOT_RUN 1
#define UNKNOWN 2
#define DONE 3

#ifdef NO_DAEMON
#define MINE(t) true
#else
#define MINE(t) (owner[t] == me)
#endif
#ifdef NO_LIFE
#define ALIVE(t) true
#else
#define ALIVE(t) (bound[t] == life[me])
#endif
#ifdef NO_MEMORY
#define KNOWN false
#else
#define KNOWN (memory[me] != NONE)
#endif
#ifdef FORGETS
#define AFTER_REFUSAL NONE
#else
#define AFTER_REFUSAL REFUSED
#endif
#ifdef SAYS_NOT_RUN
#define AFTER_LOSS NOT_RUN
#else
#define AFTER_LOSS UNKNOWN
#endif

byte life[2];          /* each daemon's life */
byte memory[2];        /* what each daemon remembers of the key */
byte latest[2];        /* the ticket that it last came with */
byte owner[TICKETS];   /* each ticket's daemon */
byte bound[TICKETS];   /* each ticket's life */
byte ticket;           /* the caller's present ticket */
byte runs;             /* how often the worker ran it */
byte from[2];          /* requests of each daemon on their way to the worker */
byte answer[2];        /* the answer on its way from each daemon, 0 for none */
byte about[2];         /* the ticket that the answer is about */
bool asked[4];         /* asked[2*d+t]: a request with ticket t is on its way to daemon d */

inline send(d) {
  if
  :: from[d] < 2 -> from[d]++
  :: else
  fi
}

inline say(d, what, t) {
  answer[d] = what;
  about[d] = t
}

/* The daemon learns no more of what it sent. */
inline lose(d) {
#ifdef RESEND
  send(d)
#else
  memory[d] = LOST;
  say(d, AFTER_LOSS, latest[d])
#endif
}

active [2] proctype daemon() {
  byte me = _pid;
  byte t;
  do
  /* A request comes in. */
  :: atomic {
       asked[2*me] || asked[2*me+1] ->
       if
       :: asked[2*me] -> t = 0
       :: asked[2*me+1] -> t = 1
       fi;
       asked[2*me+t] = false;
       if
       :: !MINE(t) || !ALIVE(t) -> say(me, UNKNOWN, t)
       :: MINE(t) && ALIVE(t) && KNOWN && memory[me] == RAN -> say(me, DONE, t)
       :: MINE(t) && ALIVE(t) && KNOWN && (memory[me] == LOST || memory[me] == RUNNING) ->
          say(me, UNKNOWN, t)
       :: MINE(t) && ALIVE(t) && KNOWN && memory[me] == REFUSED && t == latest[me] ->
          say(me, NOT_RUN, t)
       :: MINE(t) && ALIVE(t) && KNOWN && memory[me] == REFUSED && t < latest[me] ->
          say(me, UNKNOWN, t)
       :: MINE(t) && ALIVE(t) && (!KNOWN || (memory[me] == REFUSED && t > latest[me])) ->
          memory[me] = RUNNING;
          latest[me] = t;
          send(me)
       fi;
       t = 0
     }
  /* The worker runs it, and its answer arrives or is lost. */
  :: atomic {
       from[me] > 0 && runs < 2 ->
       from[me]--;
       runs++;
       /* At most once. */
       assert(runs <= 1);
       if
       :: memory[me] == RUNNING -> memory[me] = RAN; say(me, DONE, latest[me])
       :: memory[me] == RUNNING -> lose(me)
       :: memory[me] != RUNNING -> skip
       fi
     }
  /* The connection breaks while the request is on its way; the daemon can't know. */
  :: atomic { memory[me] == RUNNING && from[me] > 0 -> lose(me) }
  /* The worker refuses it as not run. */
  :: atomic {
       memory[me] == RUNNING && from[me] > 0 ->
       from[me]--;
       memory[me] = AFTER_REFUSAL;
       say(me, NOT_RUN, latest[me])
     }
  /* What is on its way is lost. */
  :: atomic {
       from[me] > 0 ->
       from[me]--;
       if
       :: memory[me] == RUNNING -> lose(me)
       :: else
       fi
     }
  /* The daemon is replaced; what it had sent goes on, and requests to it still arrive. */
  :: atomic {
       life[me] < LIVES ->
       life[me]++;
       memory[me] = NONE;
       latest[me] = 0;
       answer[me] = 0
     }
  od
}

active proctype caller() {
  byte d;
  atomic {
    select(d : 0 .. 1);
    owner[0] = d;
    bound[0] = life[d];
    asked[2*d] = true
  }
  do
  /* An answer arrives; only "not run" about its present ticket lets it take another one. */
  :: atomic {
       answer[0] != 0 || answer[1] != 0 ->
       if
       :: answer[0] != 0 -> d = 0
       :: answer[1] != 0 -> d = 1
       fi;
       if
       :: answer[d] == NOT_RUN && about[d] == ticket ->
          /* What was called not run did not run. */
          assert(runs == 0);
          if
          :: ticket + 1 < TICKETS ->
             answer[d] = 0;
             ticket++;
             select(d : 0 .. 1);
             owner[ticket] = d;
             bound[ticket] = life[d];
             asked[2*d+ticket] = true
          :: else -> answer[d] = 0
          fi
       :: else -> answer[d] = 0
       fi
     }
  /* It asks again with the ticket it has, also at the wrong daemon. */
  :: atomic {
       select(d : 0 .. 1);
       asked[2*d+ticket] = true
     }
  od
}
