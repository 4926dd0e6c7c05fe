/* What a worker asks of daemons in its responses: a limit on the requests of all daemons together, to
   be left alone, to leave.

   Two daemons know each other; a third registers, of which each learns at its own moment. A daemon
   knows of a notice once a response tells it, or for the limit also a message of another daemon, which
   may be lost. Requests are made ready, with a connection, before they are sent. One window of the
   limit is modelled; its shares are even, remainders to the lowest ranks. The worker has one of the
   three notices.

   Mutations: WHOLE gives each daemon the whole limit; FORGET takes a daemon that can't be reached for
   a failed one; NO_RECHECK checks a request only when it is made ready; ENTRY_WINS lets a ready entry
   of the store end a worker's leaving. */

#define LIMIT 4
#define BOUND 5       /* the limit, and one request for the change of membership */
#define DAEMONS 3
#define READY 3       /* requests that are made ready at once, at the most */
#define MAX_LATE 2    /* requests that may reach a worker in the delay that it asked for */

mtype = { names_limit, asks_delay, leaves };

mtype notice;             /* what the worker asks */
byte known[DAEMONS];      /* the number of daemons that each daemon knows; 0: not started */
bool limited[DAEMONS];    /* it knows of the limit */
bool delayed[DAEMONS];      /* the worker asked it to back off */
bool leaving[DAEMONS];    /* the worker told it that it leaves, and the drain time is over */
bool barred[DAEMONS];     /* it sends nothing to the worker because of that */
byte ready[DAEMONS];      /* its requests that are made ready */
byte used[DAEMONS];       /* its requests in the window that count for the limit */
byte late[DAEMONS];       /* its requests in the delay */
byte sent = 0;            /* requests of all daemons that count for the limit */

inline may_send(d, result) {
  byte share;
#ifdef WHOLE
  share = LIMIT;
#else
  share = LIMIT / known[d] + ((d < LIMIT % known[d]) -> 1 : 0);
#endif
  result = !delayed[d] && !barred[d] && (!limited[d] || used[d] < share)
}

proctype daemon(byte d) {
  bool open;
  do
  :: atomic { known[d] > 0 && ready[d] < READY -> may_send(d, open); if :: open -> ready[d]++ :: else -> skip fi }
  :: atomic {
      ready[d] > 0 ->
      ready[d]--;
#ifdef NO_RECHECK
      open = true;
#else
      may_send(d, open);
#endif
      if
      :: open ->
         assert(!leaving[d]);
         if :: delayed[d] -> late[d]++; assert(late[d] <= MAX_LATE) :: else -> skip fi;
         if :: limited[d] -> used[d]++; sent++; assert(sent <= BOUND) :: else -> skip fi
      :: else -> skip
      fi
    }
  /* Responses. */
  :: atomic { notice == names_limit && known[d] > 0 && !limited[d] -> limited[d] = true }
  :: atomic { notice == asks_delay && known[d] > 0 && !delayed[d] -> delayed[d] = true }
  :: atomic { notice == leaves && known[d] > 0 && !leaving[d] -> leaving[d] = true; barred[d] = true }
  /* A message of the daemon before it, which may never come. */
  :: atomic { known[d] > 0 && !limited[d] && limited[(d + 1) % DAEMONS] -> limited[d] = true }
  :: atomic { known[2] > 0 && d < 2 && known[d] == 2 -> known[d] = DAEMONS }
#ifdef FORGET
  :: atomic { d == 0 && known[0] == 2 -> known[0] = 1 }
#endif
#ifdef ENTRY_WINS
  :: atomic { barred[d] -> barred[d] = false }
#endif
  od
}

init {
  atomic {
    if :: notice = names_limit :: notice = asks_delay :: notice = leaves fi;
    known[0] = 2; known[1] = 2;
    run daemon(0); run daemon(1); run daemon(2)
  }
  known[2] = DAEMONS
}
