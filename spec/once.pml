/* A request that may run at most once, between a daemon and two workers.

   The daemon sends the request to a worker. The worker runs it or refuses it; or its address
   belongs to another worker by now, which must respond "misdirected" and not run it. Any response
   may be lost. The daemon may send the request to a second worker only if it knows that the first
   did not run it, and may respond "not run" only if no worker can have run it.

   Mutations: RESEND retries after a lost response; FALSE_PROMISE responds "not run" after a lost
   response; NO_EXPECT lets a worker run a request that was meant for another. */

#define WORKERS 2
#define ATTEMPTS 2

mtype = { ran, refused, misdirected, lost };

byte runs = 0;
bool ran_elsewhere = false;      /* a worker ran a request that was meant for another */
bool answered_not_run = false;   /* the caller was told that the request did not run */
bool answered = false;           /* the caller got the daemon's response */
bool reassigned[WORKERS];        /* the worker's address belongs to another worker now */

proctype daemon() {
  byte sent = 0;                 /* attempts so far */
  byte w;                        /* the worker of this attempt */
  bool maybe_ran = false;        /* a response was lost, so the request may have run */
  mtype response;
  bool tried[WORKERS];           /* the workers that got the request */

  do
  :: sent < ATTEMPTS && !answered ->
    if
    :: w = 0
    :: w = 1
    fi;
    if
    :: tried[w] -> skip
    :: else ->
      tried[w] = true;
      sent++;
      /* The address may be reassigned to another worker until the request arrives. */
      if
      :: reassigned[w] = true
      :: skip
      fi;
      if
      :: reassigned[w] ->
#ifdef NO_EXPECT
        ran_elsewhere = true;
        runs++;
        response = ran;
#else
        response = misdirected;
#endif
      :: !reassigned[w] -> runs++; response = ran
      :: !reassigned[w] -> response = refused
      fi;
      /* The response may be lost. */
      if
      :: response = lost
      :: skip
      fi;
      if
      :: response == ran -> answered = true
      :: response == refused || response == misdirected -> skip
      :: response == lost ->
        maybe_ran = true;
#ifndef RESEND
        answered = true;
#ifdef FALSE_PROMISE
        answered_not_run = true;
#endif
#endif
      fi
    fi
  :: !answered ->
    /* The daemon gives up: no time, no retry budget, or no worker left. */
    answered = true;
    answered_not_run = !maybe_ran;
  :: answered -> break
  od;
  assert(runs <= 1);
  assert(!ran_elsewhere);
  assert(!answered_not_run || runs == 0);
}

init { run daemon() }
