/* A limit on what all daemons together send in any window, kept by shares while daemons restart.

   Two daemons count what they sent in the last WINDOW ticks, and keep to a share each. A daemon may
   restart at any moment and has forgotten then what it sent. In the first window after its start it
   sends nothing: whatever the process before sent is out of the window when it begins.

   Mutations: WHOLE lets a process use its share at once; EARNED lets it send one in its first window,
   as for a request that it received. */

#define DAEMONS 2
#define WINDOW 3
#define SHARE 2

byte age[DAEMONS];               /* ticks since the process's start, up to WINDOW */
byte own[DAEMONS * WINDOW];      /* what each process knows that it sent, by tick */
byte sent[WINDOW];               /* what all sent in the last ticks */
byte early[DAEMONS];             /* what a process sent in its first window */
byte tick = 0;                   /* the index of the current tick */

inline sum_own(d, result) {
  result = own[d * WINDOW] + own[d * WINDOW + 1] + own[d * WINDOW + 2]
}

inline check() {
  assert(sent[0] + sent[1] + sent[2] <= DAEMONS * SHARE)
}

proctype daemon(byte d) {
  byte used;
  do
  :: atomic {
      sum_own(d, used);
      if
#ifdef WHOLE
      :: used < SHARE ->
#else
      :: age[d] >= WINDOW && used < SHARE ->
#endif
        own[d * WINDOW + tick]++;
        sent[tick]++
#ifdef EARNED
      :: age[d] < WINDOW && early[d] < 1 ->
        early[d]++;
        own[d * WINDOW + tick]++;
        sent[tick]++
#endif
      :: else -> skip
      fi;
      used = 0;
      check()
    }
  :: d_step {
      /* A restart: the process forgets. */
      age[d] = 0;
      early[d] = 0;
      own[d * WINDOW] = 0; own[d * WINDOW + 1] = 0; own[d * WINDOW + 2] = 0
    }
  od
}

proctype clock() {
  byte d;
  do
  :: d_step {
      tick = (tick + 1) % WINDOW;
      sent[tick] = 0;
      d = 0;
      do
      :: d < DAEMONS ->
        own[d * WINDOW + tick] = 0;
        if
        :: age[d] < WINDOW -> age[d]++
        :: else -> skip
        fi;
        d++
      :: else -> break
      od;
      d = 0
    }
  od
}

init {
  atomic {
    age[0] = WINDOW; age[1] = WINDOW;
    run daemon(0); run daemon(1); run clock()
  }
}
