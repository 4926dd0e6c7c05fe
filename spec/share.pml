/* The limit on the requests that all daemons together send to a cold worker in one second.

   Each daemon computes its share of the limit from the number of daemons that it knows. Three
   daemons have a limit of 10, of which their shares add up to 9. A fourth daemon registers. Each of
   the three learns of it at a different moment; the fourth uses its share only once all of them
   have had time to learn of it. Entries of failed daemons stay registered, so that no share grows
   while another daemon still uses its old one.

   Mutations: NO_WAIT lets the new daemon use its share at once; FORGET takes a daemon that can't be
   reached for a failed one, and divides its share among the others. */

#define LIMIT 10
#define ALLOCATED 9   /* the sum of all shares */
#define INITIAL 3     /* daemons before the fourth registers */

byte known[4];             /* the number of daemons that each daemon knows; 0: sends nothing yet */
byte sent = 0;             /* requests of all daemons in this second */
byte used[4];              /* requests of each daemon in this second */
bool registered = false;   /* the fourth daemon is registered */
bool partitioned = false;  /* the second daemon can't be reached by the others, and still serves */

/* The share of daemon d where there are count daemons. */
inline share(d, count, result) {
  result = ALLOCATED / count + ((d < ALLOCATED % count) -> 1 : 0)
}

proctype daemon(byte d) {
  byte budget;   /* this daemon's share of the limit, which it spends in one second */
  do
  :: atomic {
      known[d] > 0 ->
      share(d, known[d], budget);
      if
      :: used[d] < budget -> used[d]++; sent++
      :: else -> skip
      fi;
      assert(sent <= LIMIT)
    }
  :: atomic { registered && d < INITIAL && known[d] == INITIAL && !(partitioned && d == 1) -> known[d] = INITIAL + 1 }
#ifdef FORGET
  :: atomic { partitioned && d != 1 && d < INITIAL && known[d] == INITIAL -> known[d] = INITIAL - 1 }
#endif
  :: atomic { sent >= LIMIT - 1 -> break }
  od
}

proctype registration() {
  byte d;
#ifdef NO_WAIT
  atomic { registered = true; known[3] = INITIAL + 1 }
#else
  registered = true;
  /* The wait ends after the last second in which another daemon used its larger share. */
  atomic {
    known[0] == INITIAL + 1 && known[1] == INITIAL + 1 && known[2] == INITIAL + 1 ->
    known[3] = INITIAL + 1;
    sent = 0;
    d = 0;
    do
    :: d < 4 -> used[d] = 0; d++
    :: else -> break
    od
  }
#endif
}

init {
  atomic {
    known[0] = INITIAL; known[1] = INITIAL; known[2] = INITIAL;
    run daemon(0); run daemon(1); run daemon(2); run daemon(3);
    run registration();
    if
#ifdef FORGET
    :: partitioned = true
#endif
    :: skip
    fi
  }
}
