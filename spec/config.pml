/*
 * Model of configuration generations: two operators update the head
 * conditionally, replies are lost, reads are stale, the store is restored once
 * to an older state, and daemons restart without state.
 *
 * A daemon accepts a document only if it ranks higher than the one in force, by
 * generation and, within one generation, by content. Two contents of the same
 * generation can only exist if the store was restored before any daemon read
 * the first; the rank makes daemons agree even then. A new daemon becomes ready
 * only after it has compared generations with a peer that has any document.
 *
 * Properties: the document in force on a daemon never decreases in rank while
 * the daemon runs; a replaced daemon is never ready with a lower rank than that
 * of the peer it compared with; a new generation is above all generations that
 * daemons had in force when its writer started; a change whose writer reports a
 * conflict is never in force, and one whose writer reports it as applied has
 * been accepted by the store.
 *
 * Mutations, each of which must violate a property:
 *   REVERT   daemons accept any document of the store
 *   NOFLOOR  writers ignore the generations that daemons have in force
 *   NOSYNC   a new daemon is ready as soon as it has read the store
 *   GUESS    a writer whose reply was lost reports a conflict without reading
 *            the head
 */
#define RANK(g, w) ((g) * 4 + (w))

byte version = 1;
byte generation = 1;
byte writer = 0;          /* writer of the current head; 0 is the initial one */
byte previous = 0;        /* the previous writer, stored in the head */

/* An earlier state of the store, returned by stale reads and a restore. */
byte oldGeneration = 1;
byte oldWriter = 0;

byte rank[2];             /* rank in force on each daemon; 0 is none */
bool ready[2];

bool accepted[3];           /* the store has accepted the writer's head */
bool reportedConflict[3];   /* the writer has reported a conflict */
bool used[3];               /* a daemon has had the writer's content in force */

inline acceptRank(d, r) {
  if
#ifdef REVERT
  :: r != rank[d] ->
#else
  :: r > rank[d] ->
#endif
     assert(r > rank[d]);
     assert(!reportedConflict[r % 4]);
     rank[d] = r;
     used[r % 4] = true
  :: else -> skip
  fi
}

proctype Writer(byte me) {
  byte baseVersion, next, highestInForce;
  bool lost;
  atomic {
    baseVersion = version;
    next = generation;
    highestInForce = (rank[0] > rank[1] -> rank[0] : rank[1]) / 4;
#ifndef NOFLOOR
    next = (next > highestInForce -> next : highestInForce);
#endif
    next = next + 1;
    assert(next > highestInForce)
  };
  atomic {
    if
    :: version == baseVersion ->
       oldGeneration = generation; oldWriter = writer;
       previous = writer;
       version++; generation = next; writer = me; accepted[me] = true
    :: else -> skip
    fi
  };
  if
  :: lost = false
  :: lost = true
  fi;
  if
  :: !lost ->                /* the reply is received */
     if
     :: accepted[me] -> skip
     :: else -> atomic { reportedConflict[me] = true; assert(!used[me]) }
     fi
  :: lost ->                 /* the writer reads the head */
#ifdef GUESS
     atomic { reportedConflict[me] = true; assert(!used[me]) }
#else
     atomic {
       if
       :: writer == me || previous == me -> assert(accepted[me])
       :: version == baseVersion + 1 && writer != me && previous != me ->
          reportedConflict[me] = true; assert(!accepted[me] && !used[me])
       :: else -> skip /* the outcome is unknown */
       fi
     }
#endif
  fi
}

/* An operator restores the store to its earlier state, once. Versions still increase. */
proctype Restore() {
  atomic {
    version = version + 2;
    generation = oldGeneration;
    writer = oldWriter;
    previous = 0
  }
}

proctype Daemon(byte me) {
  byte peer = 1 - me;
  bool replaced = false;
  byte peerRank = 0;        /* highest rank received from the peer */
  bool compared = false;
end:
  do
  :: atomic { true -> acceptRank(me, RANK(generation, writer)) }
  :: atomic { true -> acceptRank(me, RANK(oldGeneration, oldWriter)) }   /* a stale read */
  :: atomic { rank[peer] > peerRank ->         /* head and content of a peer */
       peerRank = rank[peer];
       compared = true;
       acceptRank(me, peerRank)
     }
  :: atomic { !ready[me] && rank[me] > 0 ->
#ifndef NOSYNC
       (compared || rank[peer] == 0);
#endif
       ready[me] = true;
       assert(compared || rank[peer] == 0);
       assert(rank[me] >= peerRank)
     }
  :: atomic { !replaced && ready[me] ->        /* replaced: all state is lost */
       replaced = true;
       rank[me] = 0; ready[me] = false; compared = false; peerRank = 0
     }
  od
}

init {
  atomic {
    run Writer(1); run Writer(2); run Restore(); run Daemon(0); run Daemon(1)
  }
}
