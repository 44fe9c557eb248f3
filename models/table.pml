/*
 * Models the table that operators edit. Concurrent edits name the version that
 * they are based on. Entries read the log late or get the newest version from
 * each other. Processes may be replaced and the log may be down.
 *
 * Each of these defines removes a mechanism:
 *   NO_BASE_CHECK      an edit is accepted whatever base version it names
 *   NO_OFFER_CHECK     an entry takes a peer's table even if it is older
 *   READY_BEFORE_LOAD  a new process serves before it has read the log or got
 *                      the table from a peer
 */

#define ENTRIES 2
#define OPERATORS 2
#define MAX_VERSION 4

byte version = 1;         /* the newest version accepted by the log */
byte served[ENTRIES] = 1; /* 0: not ready */
byte confirmed = 1;       /* the newest one known in force at all entries */
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
        /* An accepted edit is based on the edit before it. */
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
    base = version; /* reads the table; the edit is sent later */
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
  /* A peer's offer may be in flight for any length of time. */
  :: atomic { offer == 0 && served[PEER] > 0 -> offer = served[PEER] }
  :: atomic { offer > 0 && served[me] > 0 ->
      before = served[me];
      if
#ifdef NO_OFFER_CHECK
      :: true -> served[me] = offer
#else
      :: offer > before -> served[me] = offer
      :: offer <= before -> skip
#endif
      fi;
      /* The table in force never reverts to an older version. */
      assert(served[me] >= before);
      offer = 0; before = 0 }
  /* The process is replaced. It serves what the log or its peer returns now. */
  :: atomic { served[PEER] > 0 ->
      offer = 0;
#ifdef READY_BEFORE_LOAD
      served[me] = 1;
#else
      if
      :: logUp -> served[me] = version
      :: !logUp -> served[me] = served[PEER]
      fi;
#endif
      /* A version that was confirmed as in force stays in force. */
      assert(served[me] >= confirmed) }
  :: atomic { served[0] > confirmed && served[1] > confirmed ->
      if
      :: served[0] < served[1] -> confirmed = served[0]
      :: else -> confirmed = served[1]
      fi }
  od
}
