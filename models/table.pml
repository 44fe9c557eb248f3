/*
 * The operators' table: racing edits that name their base version, entries
 * that read the log late or get the newest version from each other, processes
 * that are replaced, and a log that may be down.
 *
 * Mechanisms that a define takes away:
 *   NO_BASE_CHECK  an edit counts whatever version it names
 *   ANY_OFFER      a peer's table is taken even if it is older
 *   READY_AT_ONCE  a fresh process serves before it read the log or a peer
 */

#define ENTRIES 2
#define OPERATORS 2
#define MAX_VERSION 4

byte version = 1;         /* the newest accepted in the log */
byte served[ENTRIES] = 1; /* 0: not ready */
byte confirmed = 1;       /* the newest that all entries confirmed */
bool logUp = true;

chan toLog = [2] of { byte }; /* the base version of an edit */

active proctype Log()
{
  byte base;
end:
  do
  :: logUp = !logUp
  :: atomic { logUp && toLog ? [base] -> toLog ? base;
      if
      :: true -> skip /* lost */
#ifdef NO_BASE_CHECK
      :: version < MAX_VERSION ->
#else
      :: version < MAX_VERSION && base == version ->
#endif
        /* Racing operators: an accepted edit saw the one before it. */
        assert(base == version);
        version++
      :: base != version -> skip /* conflict */
      fi;
      base = 0 }
  od
}

active [OPERATORS] proctype Operator()
{
  byte base;
  byte edits = 0;
  do
  :: edits < 2 ->
    base = version; /* reads the table, thinks, and edits */
    toLog ! base;
    base = 0;
    edits++
  :: edits >= 2 -> break
  od
}

#define PEER (1 - me)

active [ENTRIES] proctype Entry()
{
  byte me = _pid - 3;
  byte before;
  byte offer;
end:
  do
  :: atomic { logUp && served[me] < version -> served[me] = version }
  /* A peer's offer may be under way for any time. */
  :: atomic { offer == 0 && served[PEER] > 0 -> offer = served[PEER] }
  :: atomic { offer > 0 && served[me] > 0 ->
      before = served[me];
      if
#ifdef ANY_OFFER
      :: true -> served[me] = offer
#else
      :: offer > before -> served[me] = offer
      :: offer <= before -> skip
#endif
      fi;
      /* In force, it never reverts. */
      assert(served[me] >= before);
      offer = 0; before = 0 }
  /* Replaced: it serves what the log or its peer tells it now. */
  :: atomic { served[PEER] > 0 ->
      offer = 0;
#ifdef READY_AT_ONCE
      served[me] = 1;
#else
      if
      :: logUp -> served[me] = version
      :: !logUp -> served[me] = served[PEER]
      fi;
#endif
      /* What apply reported as in force stays in force. */
      assert(served[me] >= confirmed) }
  :: atomic { served[0] > confirmed && served[1] > confirmed ->
      if
      :: served[0] < served[1] -> confirmed = served[0]
      :: else -> confirmed = served[1]
      fi }
  od
}
