/*
 * One query of two shards while the index is repartitioned from snapshot 1 to
 * snapshot 2, which has three. Servers move on at any time, replies come late
 * or twice, and the query may restart as a whole on the newer snapshot.
 *
 * Checked: every part that is merged is of the pinned snapshot, no shard counts
 * twice, and the stated coverage never exceeds what was merged nor uses the
 * other snapshot's number of shards.
 *
 * Mutations, each of which must fail:
 *   MIX      replies are merged without comparing snapshots
 *   KEEP     a restart keeps the parts that were merged
 *   DOUBLE   a second reply for a shard counts again
 */
#define SHARDS 3

chan requests = [6] of { byte, byte, byte };   /* attempt, snapshot, shard */
chan replies = [8] of { byte, byte, byte };    /* attempt, snapshot, shard; snapshot 0 is gone */

byte served = 1;          /* the snapshot that servers have */
byte pinned = 1;
byte total = 2;
byte merged = 0;
byte part[SHARDS];        /* snapshot of the merged part, 0 if none */
bool restarted = false;
bool finished = false;
byte first = 1;           /* the first attempt id of the pinned snapshot */

proctype Servers() {
  byte attempt, snapshot, shard;
end:
  do
  :: requests ? attempt, snapshot, shard ->
     if
     :: snapshot == served -> replies ! attempt, snapshot, shard;
        if
        :: nfull(replies) -> replies ! attempt, snapshot, shard  /* doubled */
        :: skip
        fi
#ifdef MIX
     :: snapshot != served -> replies ! attempt, served, shard
#else
     :: snapshot != served -> replies ! attempt, 0, shard
     :: snapshot != served -> replies ! attempt, served, shard   /* a faulty server */
#endif
     :: skip                                                     /* lost */
     fi
  :: served == 1 -> served = 2
  od
}

proctype Query() {
  byte attempt, snapshot, shard, i;
  requests ! 1, 1, 0;
  requests ! 2, 1, 1;
  do
  :: replies ? attempt, snapshot, shard ->
     if
#ifdef MIX
     :: attempt >= first && snapshot != 0 && part[shard] == 0 -> part[shard] = snapshot; merged++
#else
#ifdef DOUBLE
     :: attempt >= first && snapshot == pinned -> part[shard] = snapshot; merged++
#else
     :: attempt >= first && snapshot == pinned && part[shard] == 0 -> part[shard] = snapshot; merged++
#endif
#endif
     :: attempt >= first && snapshot == 0 && !restarted ->
        restarted = true;
        atomic {
          pinned = 2; total = 3; first = 3;
#ifndef KEEP
          merged = 0;
          i = 0;
          do
          :: i < SHARDS -> part[i] = 0; i++
          :: else -> break
          od
#endif
        };
        requests ! 3, 2, 0;
        requests ! 4, 2, 1;
        requests ! 5, 2, 2
     :: else -> skip
     fi
  :: finished = true; break   /* all are in, or the deadline has come */
  od;
  atomic {
    byte parts = 0;
    i = 0;
    do
    :: i < SHARDS ->
       assert(part[i] == 0 || part[i] == pinned);
       if
       :: part[i] != 0 -> parts++
       :: else -> skip
       fi;
       i++
    :: else -> break
    od;
    assert(merged == parts);
    assert(merged <= total);
    assert(total == pinned + 1)
  }
}

init { atomic { run Servers(); run Query() } }
