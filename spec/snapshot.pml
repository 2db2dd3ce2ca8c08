/*
 * Model of one query while the index is repartitioned from snapshot 1, with two
 * shards, to snapshot 2, with three. Servers switch snapshots at any time,
 * replies are late or duplicated, and the whole query may restart on the newer
 * snapshot.
 *
 * Properties: every merged part belongs to the pinned snapshot, no shard is
 * counted twice, and the reported coverage neither exceeds what was merged nor
 * uses the number of shards of the other snapshot.
 *
 * Mutations, each of which must violate a property:
 *   MIX      replies are merged without comparing snapshots
 *   KEEP     a restart keeps the parts that were merged before
 *   DOUBLE   a second reply for a shard is counted again
 */
#define SHARDS 3

chan requests = [6] of { byte, byte, byte };   /* attempt, snapshot, shard */
chan replies = [8] of { byte, byte, byte };    /* attempt, snapshot, shard; snapshot 0: not available */

byte served = 1;          /* the snapshot that servers serve */
byte pinned = 1;
byte total = 2;
byte merged = 0;
byte part[SHARDS];        /* snapshot of the merged part; 0 if none */
bool restarted = false;
bool finished = false;
byte first = 1;           /* first attempt ID of the pinned snapshot */

proctype Servers() {
  byte attempt, snapshot, shard;
end:
  do
  :: requests ? attempt, snapshot, shard ->
     if
     :: snapshot == served -> replies ! attempt, snapshot, shard;
        if
        :: nfull(replies) -> replies ! attempt, snapshot, shard  /* duplicate */
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
  :: finished = true; break   /* all replies received, or deadline exceeded */
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
