/*
 * Model of idempotency tickets for non-idempotent requests: one ticket, the
 * incarnation A that issued it, its only successor B, a forwarding daemon C, a
 * gateway and a backend server.
 *
 * Weak fairness is not assumed: any process may pause at any point for any
 * time, which models frozen daemons that resume. A may crash. Every message may
 * be lost, and attempts that the caller has abandoned may arrive at any later
 * time.
 *
 * Properties: the request runs at most once; after notRun was reported to a
 * caller, it never runs; if answered was reported to a caller, it ran.
 *
 * Mutations, each of which must violate a property:
 *   LEASE    B takes over when it considers A dead, without the table of A
 *   RELEASE  a ticket whose request was not run can be used again
 *   RESEND   A sends the request again after a reply was lost
 *   OPENCLOSE  A continues to send after it has handed over its table
 *   FALSE    a lost reply is reported as notRun
 */
#define ATTEMPTS 3

mtype = { none, pending, answered, unknown, notRun };
mtype = { toA, toB, toC };

mtype entryA = none;
mtype entryB = none;
bool closedA = false;
bool copied = false;      /* A has copied its table to hand it over to B */
bool confirmed = false;   /* A has received the confirmation of B */
bool adoptedB = false;
bool crashedA = false;
byte runs = 0;
bool reportedNotRun = false;
bool reportedAnswered = false;

/* An attempt carries only its ticket; attempts can be reordered, as the three
   channels have different readers. */
chan attemptsToA = [ATTEMPTS] of { bit };
chan attemptsToB = [ATTEMPTS] of { bit };
chan attemptsToC = [ATTEMPTS] of { bit };

/* Requests in flight to the gateway, identified by their sender: 0 is A, 1 is B. */
chan gateway = [4] of { bit };
chan server = [4] of { bit };
chan backA = [4] of { mtype };
chan backB = [4] of { mtype };
chan handOver = [1] of { mtype };
chan ack = [1] of { bit };

/* Reports an outcome to a caller. */
inline report(outcome) {
  if
  :: outcome == notRun -> reportedNotRun = true
  :: outcome == answered -> reportedAnswered = true
  :: else -> skip
  fi
}

/* The caller sends attempts through any daemon, without waiting for earlier ones. */
proctype Caller() {
  byte n = 0;
  do
  :: n < ATTEMPTS -> n++;
     if
     :: attemptsToA ! 0
     :: attemptsToB ! 0
     :: attemptsToC ! 0
     :: skip /* the request is lost */
     fi
  :: break
  od
}

/* C has no table; it forwards to A or to the successor. */
proctype Forwarder() {
end:
  do
  :: attemptsToC ? 0 ->
     if
     :: attemptsToA ! 0
     :: attemptsToB ! 0
     :: skip /* C replies unknown */
     fi
  od
}

proctype Issuer() {
  mtype result;
end:
  do
  :: crashedA -> break
  :: !crashedA && attemptsToA ? [0] -> atomic {
       attemptsToA ? 0;
       if
#ifdef OPENCLOSE
       :: entryA == none -> entryA = pending; gateway ! 0
#else
       :: closedA && confirmed -> attemptsToB ! 0
       :: closedA && !confirmed -> skip /* unknown */
       :: !closedA && entryA == none -> entryA = pending; gateway ! 0
#endif
       :: entryA != none && !closedA -> report(entryA)
       :: else -> skip
       fi
     }
  :: !crashedA && backA ? [_] -> atomic {
       backA ? result;
       if
       :: entryA == pending ->
#ifdef RELEASE
          if
          :: result == notRun -> entryA = none
          :: else -> entryA = result
          fi;
          report(result)
#else
          entryA = result;
          report(result)
#endif
       :: else -> skip
       fi
     }
     /* The reply times out. */
  :: !crashedA && entryA == pending -> atomic {
#ifdef RESEND
       if
       :: gateway ! 0
       :: entryA = unknown
       fi
#else
#ifdef FALSE
       entryA = notRun; report(notRun)
#else
       entryA = unknown
#endif
#endif
     }
     /* Graceful shutdown: close permanently, then hand over to the only successor. */
  :: !crashedA && !closedA -> atomic {
       closedA = true;
       copied = true;
       if
       :: entryA == pending -> handOver ! unknown
       :: else -> handOver ! entryA
       fi
     }
  :: !crashedA && closedA && ack ? [0] -> ack ? 0; confirmed = true
  :: crashedA = true
  od
}

proctype Successor() {
  mtype result;
  mtype copy;
end:
  do
  :: handOver ? copy ->
     if
     :: atomic { entryB = copy; adoptedB = true }; 
        if
        :: ack ! 0
        :: skip /* the confirmation is lost */
        fi
     :: skip /* the hand-over is lost */
     fi
  :: attemptsToB ? [0] -> atomic {
       attemptsToB ? 0;
       if
#ifdef LEASE
       :: !adoptedB && entryB == none -> entryB = pending; gateway ! 1
#else
       :: !adoptedB -> skip /* unknown */
#endif
       :: adoptedB && entryB == none -> entryB = pending; gateway ! 1
       :: adoptedB && entryB != none -> report(entryB)
       :: else -> skip
       fi
     }
  :: backB ? result -> atomic {
       if
       :: entryB == pending -> entryB = result; report(result)
       :: else -> skip
       fi
     }
  :: entryB == pending -> entryB = unknown
  od
}

inline reply(sender, outcome) {
  if
  :: sender == 0 -> backA ! outcome
  :: sender == 1 -> backB ! outcome
  fi
}

/* The gateway moves a request from queued to sent atomically, or rejects it. */
proctype Gateway() {
  bit sender;
end:
  do
  :: gateway ? sender ->
     if
     :: reply(sender, notRun)
     :: server ! sender
     :: skip /* the link breaks before the request is read */
     fi
  od
}

proctype Server() {
  bit sender;
end:
  do
  :: server ? sender ->
     if
     :: reply(sender, notRun) /* shed */
     :: atomic { runs++; assert(runs <= 1); assert(!reportedNotRun) };
        if
        :: reply(sender, answered)
        :: skip /* the reply is lost */
        fi
     fi
  od
}

/* Checks the outcomes reported to callers in every state. */
active proctype Monitor() {
end:
  do
  :: atomic { reportedNotRun && runs > 0 -> assert(false) }
  :: atomic { reportedAnswered && runs == 0 -> assert(false) }
  od
}

init {
  atomic {
    run Caller(); run Forwarder(); run Issuer(); run Successor(); run Gateway(); run Server()
  }
}
