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
 * Properties: the request runs at most once; after a caller was told notRun, it
 * never runs; if a caller was told answered, it ran.
 *
 * Mutations, each of which must violate a property:
 *   LEASE    B takes over when it considers A dead, without the table of A
 *   RELEASE  a ticket whose request was not run can be used again
 *   RESEND   A sends the request again after a reply was lost
 *   OPENCLOSE  A continues to send after it has handed over its table
 *   FALSE    a lost reply is reported as notRun
 */
#define TRIES 3

mtype = { none, pending, answered, unknown, notRun };
mtype = { toA, toB, toC };

mtype entryA = none;
mtype entryB = none;
bool closedA = false;
bool copied = false;      /* A has copied its table to hand it over to B */
bool confirmed = false;   /* A knows that B has received the table */
bool adoptedB = false;
bool crashedA = false;
byte runs = 0;
bool toldNotRun = false;
bool toldAnswered = false;

/* An attempt carries only its ticket; attempts can be reordered, as the three
   channels have different readers. */
chan tryA = [TRIES] of { bit };
chan tryB = [TRIES] of { bit };
chan tryC = [TRIES] of { bit };

/* Requests in flight to the gateway, identified by their sender: 0 is A, 1 is B. */
chan gateway = [4] of { bit };
chan server = [4] of { bit };
chan backA = [4] of { mtype };
chan backB = [4] of { mtype };
chan handOver = [1] of { mtype };
chan ack = [1] of { bit };

inline tell(outcome) {
  if
  :: outcome == notRun -> toldNotRun = true
  :: outcome == answered -> toldAnswered = true
  :: else -> skip
  fi
}

/* The caller sends attempts through any daemon, without waiting for earlier ones. */
proctype Caller() {
  byte n = 0;
  do
  :: n < TRIES -> n++;
     if
     :: tryA ! 0
     :: tryB ! 0
     :: tryC ! 0
     :: skip /* the request is lost */
     fi
  :: break
  od
}

/* C has no table; it forwards to A or to the successor. */
proctype Forwarder() {
end:
  do
  :: tryC ? 0 ->
     if
     :: tryA ! 0
     :: tryB ! 0
     :: skip /* C replies unknown */
     fi
  od
}

proctype Issuer() {
  mtype result;
end:
  do
  :: crashedA -> break
  :: !crashedA && tryA ? [0] -> atomic {
       tryA ? 0;
       if
#ifdef OPENCLOSE
       :: entryA == none -> entryA = pending; gateway ! 0
#else
       :: closedA && confirmed -> tryB ! 0
       :: closedA && !confirmed -> skip /* unknown */
       :: !closedA && entryA == none -> entryA = pending; gateway ! 0
#endif
       :: entryA != none && !closedA -> tell(entryA)
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
          tell(result)
#else
          entryA = result;
          tell(result)
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
       entryA = notRun; tell(notRun)
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
  :: tryB ? [0] -> atomic {
       tryB ? 0;
       if
#ifdef LEASE
       :: !adoptedB && entryB == none -> entryB = pending; gateway ! 1
#else
       :: !adoptedB -> skip /* unknown */
#endif
       :: adoptedB && entryB == none -> entryB = pending; gateway ! 1
       :: adoptedB && entryB != none -> tell(entryB)
       :: else -> skip
       fi
     }
  :: backB ? result -> atomic {
       if
       :: entryB == pending -> entryB = result; tell(result)
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
     :: atomic { runs++; assert(runs <= 1); assert(!toldNotRun) };
        if
        :: reply(sender, answered)
        :: skip /* the reply is lost */
        fi
     fi
  od
}

/* Checks the outcomes that callers were told in every state. */
active proctype Monitor() {
end:
  do
  :: atomic { toldNotRun && runs > 0 -> assert(false) }
  :: atomic { toldAnswered && runs == 0 -> assert(false) }
  od
}

init {
  atomic {
    run Caller(); run Forwarder(); run Issuer(); run Successor(); run Gateway(); run Server()
  }
}
