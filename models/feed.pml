/*
 * Models a compacted stream that relays read for each other. A relay that read
 * a range sends the other an update with the range and those of its records
 * that changed its state. Updates are datagrams, which may be lost, late,
 * reordered or duplicated. A read may be answered late. The log may be down and
 * may delete records that newer ones of the same key have superseded. A record
 * says whether its backend server is present or gone. For a grace period after
 * an outage, a relay only marks backend servers as pending removal, because
 * they may return.
 *
 * Each of these defines removes a mechanism:
 *   NO_GAP_CHECK         an update is applied even if it begins after the
 *                        offset that the relay has reached
 *   NO_NEWEST_CHECK      a record is applied even after a newer one of its key
 *   SKIP_TRIMMED         a relay skips records that the log has deleted
 *                        instead of loading the newest record of each key
 *   NO_UPDATE_ON_RETURN  the return of a backend server that is pending removal
 *                        is not sent to the other relay
 */

#define RELAYS 2
#define RECORDS 4
#ifndef KEYS
#define KEYS 2
#endif
#define KEY(offset) ((offset) % KEYS)
#define ALL 255

byte end = 0;   /* the offset of the next record of the log */
bool gone[RECORDS];
byte first = 0; /* the oldest record that the log still has */
bool logUp = true;

/* By relay: the offset up to which the stream is known. */
byte next[RELAYS];
/* By relay and key: one more than the offset of the newest record that was
   applied; 0 if there is none. */
byte newestApplied[RELAYS * KEYS];
/* By relay and key: the known state of the backend server. */
#define OPEN 0
#define GONE 1
#define GONE_PENDING 2 /* becomes GONE at the end of the grace period */
byte known[RELAYS * KEYS] = GONE;
bool grace[RELAYS];

/* By relay: the ranges in flight to it, from its read and from its peer's
   update. The end of the range is 0 if there is none. */
byte readFrom[RELAYS];
byte readTo[RELAYS];
byte updateFrom[RELAYS];
byte updateTo[RELAYS];
byte updateRecords[RELAYS]; /* a bit for each record */

#define SLOT(me, offset) (me) * KEYS + KEY(offset)

inline applyRecord(me, offset)
{
  if
#ifndef NO_NEWEST_CHECK
  :: newestApplied[SLOT(me, offset)] > offset -> skip
  :: newestApplied[SLOT(me, offset)] <= offset ->
#else
  :: true ->
#endif
    /* The state of a key never reverts to an older record. */
    assert(newestApplied[SLOT(me, offset)] <= offset + 1);
    newestApplied[SLOT(me, offset)] = offset + 1;
    if
    :: gone[offset] && known[SLOT(me, offset)] != GONE ->
      changed = changed | (1 << offset);
      known[SLOT(me, offset)] = (grace[me] -> GONE_PENDING : GONE)
    :: gone[offset] && known[SLOT(me, offset)] == GONE -> skip
    :: !gone[offset] ->
      if
      :: known[SLOT(me, offset)] == GONE -> changed = changed | (1 << offset)
#ifndef NO_UPDATE_ON_RETURN
      :: known[SLOT(me, offset)] == GONE_PENDING ->
        changed = changed | (1 << offset)
#endif
      :: else -> skip
      fi;
      known[SLOT(me, offset)] = OPEN
    fi
  fi
}

inline applyRange(me, from, to, selected)
{
  at = from;
  do
  :: at < to && (selected & (1 << at)) -> applyRecord(me, at); at++
  :: at < to && !(selected & (1 << at)) -> at++
  :: at >= to -> break
  od;
  at = 0
}

/* Whether the known state agrees with the record at the offset, which must be
   the newest one of its key that was read. During the grace period, a backend
   server that is gone may be pending removal. */
#define IS_KNOWN(me, offset)                                         \
  (gone[offset] -> (known[SLOT(me, offset)] == GONE ||               \
                    (known[SLOT(me, offset)] == GONE_PENDING &&      \
                     grace[me]))                                     \
                 : known[SLOT(me, offset)] == OPEN)

inline checkKnown(me)
{
  if
  :: next[me] >= 1 -> assert(IS_KNOWN(me, next[me] - 1))
  :: else -> skip
  fi;
  if
  :: KEYS == 2 && next[me] >= 2 -> assert(IS_KNOWN(me, next[me] - 2))
  :: else -> skip
  fi
}

active proctype Log()
{
end_log:
  do
  :: logUp = !logUp
  :: atomic { end < RECORDS ->
      if
      :: gone[end] = true
      :: gone[end] = false
      fi;
      end++ }
  /* The log deletes old records but keeps the newest one of each key. */
  :: atomic { first + KEYS < end -> first++ }
  od
}

active [RELAYS] proctype Relay()
{
  byte me = _pid - 1;
  byte at = 0;
  byte changed = 0;
end_relay:
  do
  /* A read begins. Its answer may be in flight for any length of time. */
  :: atomic { logUp && readTo[me] == 0 && next[me] >= first && next[me] < end ->
      readFrom[me] = next[me];
      readTo[me] = end }
  :: atomic { readTo[me] > 0 ->
      applyRange(me, readFrom[me], readTo[me], ALL);
      if
      :: next[me] < readTo[me] -> next[me] = readTo[me]
      :: else -> skip
      fi;
      checkKnown(me);
      /* The update replaces one that is in flight, which is lost. */
      updateFrom[1 - me] = readFrom[me];
      updateTo[1 - me] = readTo[me];
      updateRecords[1 - me] = changed;
      changed = 0;
      readFrom[me] = 0;
      readTo[me] = 0 }
  /* The answer to the read is lost. */
  :: atomic { readTo[me] > 0 -> readFrom[me] = 0; readTo[me] = 0 }
  /* The peer's update arrives. It may arrive again. */
  :: atomic { updateTo[me] > 0 ->
      if
      :: updateTo[me] < next[me] -> skip
#ifndef NO_GAP_CHECK
      :: updateTo[me] >= next[me] && updateFrom[me] > next[me] -> skip
      :: updateTo[me] >= next[me] && updateFrom[me] <= next[me] ->
#else
      :: updateTo[me] >= next[me] ->
#endif
        applyRange(me, updateFrom[me], updateTo[me], updateRecords[me]);
        changed = 0;
        next[me] = updateTo[me];
        checkKnown(me)
      fi }
  :: atomic { updateTo[me] > 0 ->
      updateFrom[me] = 0;
      updateTo[me] = 0;
      updateRecords[me] = 0 }
  /* The log is available again, or seems to be. */
  :: atomic { !grace[me] -> grace[me] = true }
  :: atomic { grace[me] ->
      grace[me] = false;
      do
      :: at < KEYS && known[me * KEYS + at] == GONE_PENDING ->
        known[me * KEYS + at] = GONE;
        at++
      :: at < KEYS && known[me * KEYS + at] != GONE_PENDING -> at++
      :: at >= KEYS -> break
      od;
      at = 0;
      checkKnown(me) }
  /* The log has deleted the record that the relay would read next. */
  :: atomic { logUp && next[me] < first ->
      readFrom[me] = 0;
      readTo[me] = 0; /* answers to earlier reads are discarded */
#ifdef SKIP_TRIMMED
      next[me] = first;
#else
      applyRange(me, end - KEYS, end, ALL);
      changed = 0;
      next[me] = end;
#endif
      checkKnown(me) }
  od
}
