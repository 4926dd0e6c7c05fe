/* A request that may run at most once, between the desk of a daemon and two workers.

   The desk sends it to a worker. The worker may run it, refuse it, or stand behind an address that
   another worker has now; each answer may be lost. The desk may send it again only where it knows
   that it did not run, and says "not run" only then.

   Mutations: RESEND sends again after a lost answer; FALSE_PROMISE says "not run" after a lost
   answer; NO_EXPECT lets a worker run what was meant for another. */

#define WORKERS 2
#define ATTEMPTS 2

mtype = { ran, refused, misdirected, lost };

byte runs = 0;
bool strange = false;      /* a worker ran what was meant for another */
bool told_not_run = false;
bool told = false;
bool moved[WORKERS];       /* the address belongs to another worker now */

proctype desk() {
  byte sent = 0;
  byte w;
  bool maybe_ran = false;
  mtype answer;
  bool tried[WORKERS];

  do
  :: sent < ATTEMPTS && !told ->
    if
    :: w = 0
    :: w = 1
    fi;
    if
    :: tried[w] -> skip
    :: else ->
      tried[w] = true;
      sent++;
      /* The address may pass to another worker at any moment before the request arrives. */
      if
      :: moved[w] = true
      :: skip
      fi;
      if
      :: moved[w] ->
#ifdef NO_EXPECT
        strange = true;
        runs++;
        answer = ran;
#else
        answer = misdirected;
#endif
      :: !moved[w] -> runs++; answer = ran
      :: !moved[w] -> answer = refused
      fi;
      /* Whatever it said may be lost on the way. */
      if
      :: answer = lost
      :: skip
      fi;
      if
      :: answer == ran -> told = true
      :: answer == refused || answer == misdirected -> skip
      :: answer == lost ->
        maybe_ran = true;
#ifndef RESEND
        told = true;
#ifdef FALSE_PROMISE
        told_not_run = true;
#endif
#endif
      fi
    fi
  :: !told ->
    /* The desk gives up: no time, no budget, or no worker left. */
    told = true;
    told_not_run = !maybe_ran;
  :: told -> break
  od;
  assert(runs <= 1);
  assert(!strange);
  assert(!told_not_run || runs == 0);
}

init { run desk() }
