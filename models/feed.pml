/*
 * A compacted stream that relays read for each other: whoever reads tells the
 * other of the range that it read and of the records in it that were news, by
 * datagrams that get lost, come late, in another order or twice. A read may be
 * answered late, the log may be down and may forget records that newer ones of
 * the same key have outdated. A record says that its backend server is there or
 * is gone. For a while after an outage a relay only notes what is gone, as it
 * may come back.
 *
 * Mechanisms that a define takes away:
 *   TAKE_OVER_GAP    a range that begins after what is known here is taken
 *   NO_NEWEST_CHECK  a record is taken even if a newer one of its key was
 *   SKIP_TRIMMED     records that the log has forgotten are skipped, not loaded
 *   BACK_IS_NO_NEWS  what is back after it was only noted as gone is not told
 */

#define RELAYS 2
#define RECORDS 4
#ifndef KEYS
#define KEYS 2
#endif
#define KEY(offset) ((offset) % KEYS)
#define EACH 255

byte end = 0;   /* of the log: the offset of the next record */
bool gone[RECORDS];
byte first = 0; /* the oldest record that reads still find */
bool logUp = true;

/* By relay: what is known stands before this offset. */
byte next[RELAYS];
/* By relay and key: the newest record taken, from 1; 0 is none. */
byte held[RELAYS * KEYS];
/* By relay and key: what is believed of the backend server. */
#define OPEN 0
#define GONE 1
#define NOTED 2 /* as gone, at the end of the grace */
byte belief[RELAYS * KEYS] = GONE;
bool grace[RELAYS];

/* By relay: a range under way to it, from a read and from its peer; "to" is 0
   when there is none. */
byte readFrom[RELAYS];
byte readTo[RELAYS];
byte toldFrom[RELAYS];
byte toldTo[RELAYS];
byte toldNews[RELAYS]; /* a bit for each record */

#define SLOT(me, offset) (me) * KEYS + KEY(offset)

inline take(me, offset)
{
  if
#ifndef NO_NEWEST_CHECK
  :: held[SLOT(me, offset)] > offset -> skip
  :: held[SLOT(me, offset)] <= offset ->
#else
  :: true ->
#endif
    /* What is believed of a key never reverts. */
    assert(held[SLOT(me, offset)] <= offset + 1);
    held[SLOT(me, offset)] = offset + 1;
    if
    :: gone[offset] && belief[SLOT(me, offset)] != GONE ->
      news = news | (1 << offset);
      belief[SLOT(me, offset)] = (grace[me] -> NOTED : GONE)
    :: gone[offset] && belief[SLOT(me, offset)] == GONE -> skip
    :: !gone[offset] ->
      if
      :: belief[SLOT(me, offset)] == GONE -> news = news | (1 << offset)
#ifndef BACK_IS_NO_NEWS
      :: belief[SLOT(me, offset)] == NOTED -> news = news | (1 << offset)
#endif
      :: else -> skip
      fi;
      belief[SLOT(me, offset)] = OPEN
    fi
  fi
}

inline takeRange(me, from, to, chosen)
{
  at = from;
  do
  :: at < to && (chosen & (1 << at)) -> take(me, at); at++
  :: at < to && !(chosen & (1 << at)) -> at++
  :: at >= to -> break
  od;
  at = 0
}

/* What the newest record before the offset reached says is believed, or noted
   during the grace. */
#define BELIEVES(me, offset)                                                   \
  (gone[offset] -> (belief[SLOT(me, offset)] == GONE ||                        \
                    (belief[SLOT(me, offset)] == NOTED && grace[me]))          \
                 : belief[SLOT(me, offset)] == OPEN)

inline checkWhole(me)
{
  if
  :: next[me] >= 1 -> assert(BELIEVES(me, next[me] - 1))
  :: else -> skip
  fi;
  if
  :: KEYS == 2 && next[me] >= 2 -> assert(BELIEVES(me, next[me] - 2))
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
  /* The newest record of each key stays. */
  :: atomic { first + KEYS < end -> first++ }
  od
}

active [RELAYS] proctype Relay()
{
  byte me = _pid - 1;
  byte at = 0;
  byte news = 0;
end_relay:
  do
  /* A read begins; its answer is under way for any time. */
  :: atomic { logUp && readTo[me] == 0 && next[me] >= first && next[me] < end ->
      readFrom[me] = next[me];
      readTo[me] = end }
  :: atomic { readTo[me] > 0 ->
      takeRange(me, readFrom[me], readTo[me], EACH);
      if
      :: next[me] < readTo[me] -> next[me] = readTo[me]
      :: else -> skip
      fi;
      checkWhole(me);
      /* Overwrites what is under way: that one is lost. */
      toldFrom[1 - me] = readFrom[me];
      toldTo[1 - me] = readTo[me];
      toldNews[1 - me] = news;
      news = 0;
      readFrom[me] = 0;
      readTo[me] = 0 }
  /* The answer is lost. */
  :: atomic { readTo[me] > 0 -> readFrom[me] = 0; readTo[me] = 0 }
  /* The peer's range comes; it may come again. */
  :: atomic { toldTo[me] > 0 ->
      if
      :: toldTo[me] < next[me] -> skip
#ifndef TAKE_OVER_GAP
      :: toldTo[me] >= next[me] && toldFrom[me] > next[me] -> skip
      :: toldTo[me] >= next[me] && toldFrom[me] <= next[me] ->
#else
      :: toldTo[me] >= next[me] ->
#endif
        takeRange(me, toldFrom[me], toldTo[me], toldNews[me]);
        news = 0;
        next[me] = toldTo[me];
        checkWhole(me)
      fi }
  :: atomic { toldTo[me] > 0 ->
      toldFrom[me] = 0;
      toldTo[me] = 0;
      toldNews[me] = 0 }
  /* The log is back, or seems to be. */
  :: atomic { !grace[me] -> grace[me] = true }
  :: atomic { grace[me] ->
      grace[me] = false;
      do
      :: at < KEYS && belief[me * KEYS + at] == NOTED ->
        belief[me * KEYS + at] = GONE;
        at++
      :: at < KEYS && belief[me * KEYS + at] != NOTED -> at++
      :: at >= KEYS -> break
      od;
      at = 0;
      checkWhole(me) }
  /* The log has forgotten what would come next. */
  :: atomic { logUp && next[me] < first ->
      readFrom[me] = 0;
      readTo[me] = 0; /* answers to older calls are dropped */
#ifdef SKIP_TRIMMED
      next[me] = first;
#else
      takeRange(me, end - KEYS, end, EACH);
      news = 0;
      next[me] = end;
#endif
      checkWhole(me) }
  od
}
