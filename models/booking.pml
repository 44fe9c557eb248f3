/*
 * Bookings: ATTEMPTS at one key through LEDGERS, an append-only log that may
 * lose a record or take it late, entries that give up or die at any
 * step, and one service that counts executions.
 *
 * Mechanisms that a define takes away:
 *   NO_FIRST_CHECK         an intent is a permit wherever it stands in the log
 *   NO_READ_BACK           a permit is given before the intent was read back
 *   LATE_PERMIT            an entry uses a permit after it answered not-run
 *   ABANDON_AFTER_DISPATCH a lost answer counts as not run
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LEDGERS
#define LEDGERS 2
#endif
#define MAX_LOG 6
#define NONE 255

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:booking = { requested, intended, permitted, dispatched, unknown,
                  completed, abandoned, refused };

/* The log: an attempt's number for its intent, and more for its abandoning. */
#define ABANDON 8
byte records[MAX_LOG] = NONE;
byte length = 0;

chan toLog = [2] of { byte };
chan grants[ATTEMPTS] = [1] of { bit };

byte executions = 0;
bool notRun[ATTEMPTS] = false;
bool wished[ATTEMPTS] = false;
bool gone[ATTEMPTS] = false; /* abandoned, as the log tells */

active proctype Log()
{
  byte item;
end:
  do
  :: d_step { toLog ? [item] && length < MAX_LOG -> toLog ? item;
      records[length] = item; length++;
      if
      :: item >= ABANDON -> gone[item - ABANDON] = true
      :: else -> skip
      fi;
      item = 0 }
  :: atomic { toLog ? item -> item = 0 } /* lost */
  od
}

/* The fold: the attempt of the first intent that is not abandoned. */
inline FoldHolder()
{
  holder = NONE;
  index = 0;
  do
  :: index < length && holder == NONE ->
    if
    :: records[index] < ABANDON && !gone[records[index]] ->
      holder = records[index]
    :: else -> skip
    fi;
    index++
  :: else -> break
  od;
  index = 0
}

inline FindIntent()
{
  index = 0;
  do
  :: index < length && holder != attempt ->
    if
    :: records[index] == attempt -> holder = attempt
    :: else -> skip
    fi;
    index++
  :: else -> break
  od;
  index = 0
}

inline Choose()
{
  if
  :: attempt = 0
  :: attempt = 1
#if ATTEMPTS > 2
  :: attempt = 2
#endif
  fi
}

/* Several ledgers may each think that they own the partition. */
active [LEDGERS] proctype Ledger()
{
  byte attempt = 0, holder = NONE, index = 0;
  bool written[ATTEMPTS] = false;
end:
  do
  :: atomic { nfull(toLog) -> Choose();
      if
      :: wished[attempt] && !written[attempt] ->
        written[attempt] = true;
        toLog ! attempt
      :: else -> skip
      fi;
      attempt = 0 }
  :: atomic { nfull(toLog) || length > 0 -> Choose();
      if
      :: written[attempt] && empty(grants[attempt]) ->
        d_step {
          FoldHolder();
#ifdef NO_FIRST_CHECK
          FindIntent();
#endif
#ifdef NO_READ_BACK
          holder = attempt;
#endif
        }
        if
        :: holder == attempt -> grants[attempt] ! 1
        :: holder != attempt && holder != NONE -> grants[attempt] ! 0
        :: holder == NONE -> skip
        fi
      :: else -> skip
      fi;
      holder = NONE; attempt = 0 }
  od
}

inline Execute()
{
  atomic {
    executions++;
    /* At most once, and never after not-run. */
    assert(executions <= 1);
    assert(!notRun[me])
  }
}

active [ATTEMPTS] proctype Attempt()
{
  mtype:booking state = requested;
  byte me = _pid - 1 - LEDGERS;
  bit granted;

  if
  :: atomic { true -> step(state, requested, refuse, refused);
      notRun[me] = true }; goto over
  :: atomic { true -> wished[me] = true;
      step(state, requested, intend, intended) }
  fi;
  if
  :: atomic { grants[me] ? granted ->
      if
      :: granted -> step(state, intended, permit, permitted)
      :: else -> step(state, intended, refuse, refused); notRun[me] = true
      fi }
  /* Not read back in time. */
  :: atomic { nfull(toLog) -> toLog ! (me + ABANDON);
      step(state, intended, abandon, abandoned); notRun[me] = true }
  :: goto over /* the entry dies */
  fi;
#ifdef LATE_PERMIT
  if
  :: atomic { state == abandoned && grants[me] ? [granted] ->
      grants[me] ? granted };
    if
    :: granted -> Execute()
    :: else -> skip
    fi
  :: skip
  fi;
#endif
  if
  :: state != permitted -> goto over
  :: state == permitted -> skip
  fi;
  if
  :: atomic { nfull(toLog) -> toLog ! (me + ABANDON);
      step(state, permitted, abandon, abandoned); notRun[me] = true };
    goto over
  :: goto over /* the entry dies */
  :: atomic { true -> step(state, permitted, dispatch, dispatched) }
  fi;
  Execute();
  if
  :: atomic { true -> step(state, dispatched, answer, completed) }
  :: atomic { true -> step(state, dispatched, lose, unknown) };
#ifdef ABANDON_AFTER_DISPATCH
    toLog ! (me + ABANDON);
#endif
    if
    :: atomic { true -> step(state, unknown, answer, completed) }
    :: skip
    fi
  :: skip /* the entry dies */
  fi;
over:
  skip
}
