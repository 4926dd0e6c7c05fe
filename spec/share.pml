/* The bound on what a cold worker may get in one second, dealt to daemons by how many there are.

   Three daemons share a bound of 10, of which they spend 9 together. A fourth registers. Each of
   the three learns of it at a moment of its own; the fourth uses its share once all have had time to
   learn of it. Entries of daemons that die stay, so shares never grow while others keep theirs.

   Mutations: NO_WAIT lets the new daemon use its share at once; FORGET takes a daemon that isn't
   heard for one that is gone, and deals its share to the others. */

#define BOUND 10
#define SPENT 9
#define OLD 3

byte view[4];      /* how many daemons each one counts */
byte sent = 0;     /* in this second */
byte used[4];
bool joined = false;
bool cut = false;  /* the second daemon is cut off from the others, and still serves */

inline allowance(d, count, result) {
  result = SPENT / count + ((d < SPENT % count) -> 1 : 0)
}

proctype daemon(byte d) {
  byte most;
  do
  :: atomic {
      view[d] > 0 ->
      allowance(d, view[d], most);
      if
      :: used[d] < most -> used[d]++; sent++
      :: else -> skip
      fi;
      assert(sent <= BOUND)
    }
  :: atomic { joined && d < OLD && view[d] == OLD && !(cut && d == 1) -> view[d] = OLD + 1 }
#ifdef FORGET
  :: atomic { cut && d != 1 && d < OLD && view[d] == OLD -> view[d] = OLD - 1 }
#endif
  :: atomic { sent >= BOUND - 1 -> break }
  od
}

proctype newcomer() {
  byte d;
#ifdef NO_WAIT
  atomic { joined = true; view[3] = OLD + 1 }
#else
  joined = true;
  /* The wait outlasts the second in which the others still used larger shares. */
  atomic {
    view[0] == OLD + 1 && view[1] == OLD + 1 && view[2] == OLD + 1 ->
    view[3] = OLD + 1;
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
    view[0] = OLD; view[1] = OLD; view[2] = OLD;
    run daemon(0); run daemon(1); run daemon(2); run daemon(3);
    run newcomer();
    if
#ifdef FORGET
    :: cut = true
#endif
    :: skip
    fi
  }
}
