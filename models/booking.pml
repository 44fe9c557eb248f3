/*
 * Models one booking: ATTEMPTS attempts with its key go through LEDGERS ledgers.
 * The append-only log may lose a record or append it late. Entries may give up
 * or die at any step. One service counts the executions.
 *
 * Each of these defines removes a mechanism:
 *   NO_FIRST_CHECK          an intent gets a permit wherever it is in the log
 *   NO_READ_BACK            a permit is granted before the intent was read back
 *   USE_PERMIT_LATE         an entry uses a permit after it answered not-run
 *   ABANDON_AFTER_DISPATCH  an attempt whose answer was lost is abandoned as if
 *                           it had not run
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

/* The log. A record is the number of an attempt for its intent, or the number
 * plus ABANDON if the attempt was abandoned. */
#define ABANDON 8
byte records[MAX_LOG] = NONE;
byte length = 0;

chan toLog = [2] of { byte };
chan grants[ATTEMPTS] = [1] of { bit }; /* 1: permitted, 0: refused */

byte executions = 0;
bool notRun[ATTEMPTS] = false;
bool intentRequested[ATTEMPTS] = false;
bool isAbandoned[ATTEMPTS] = false; /* as recorded in the log */

active proctype Log()
{
  byte record;
end:
  do
  :: d_step { toLog ? [record] && length < MAX_LOG -> toLog ? record;
      records[length] = record; length++;
      if
      :: record >= ABANDON -> isAbandoned[record - ABANDON] = true
      :: else -> skip
      fi;
      record = 0 }
  :: atomic { toLog ? record -> record = 0 } /* lost */
  od
}

/* Finds the attempt of the first intent in the log that is not abandoned. */
inline FindHolder()
{
  holder = NONE;
  index = 0;
  do
  :: index < length && holder == NONE ->
    if
    :: records[index] < ABANDON && !isAbandoned[records[index]] ->
      holder = records[index]
    :: else -> skip
    fi;
    index++
  :: else -> break
  od;
  index = 0
}

/* Sets the holder to the attempt if its intent is anywhere in the log. Only
 * NO_FIRST_CHECK uses this. */
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

inline ChooseAttempt()
{
  if
  :: attempt = 0
  :: attempt = 1
#if ATTEMPTS > 2
  :: attempt = 2
#endif
  fi
}

/* Several ledgers may act as the owner of the partition at the same time. */
active [LEDGERS] proctype Ledger()
{
  byte attempt = 0, holder = NONE, index = 0;
  bool written[ATTEMPTS] = false;
end:
  do
  :: atomic { nfull(toLog) -> ChooseAttempt();
      if
      :: intentRequested[attempt] && !written[attempt] ->
        written[attempt] = true;
        toLog ! attempt
      :: else -> skip
      fi;
      attempt = 0 }
  :: atomic { nfull(toLog) || length > 0 -> ChooseAttempt();
      if
      :: written[attempt] && empty(grants[attempt]) ->
        d_step {
          FindHolder();
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
    /* The booking runs at most once, and never after the answer not-run. */
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
      notRun[me] = true }; goto finish
  :: atomic { true -> intentRequested[me] = true;
      step(state, requested, intend, intended) }
  fi;
  if
  :: atomic { grants[me] ? granted ->
      if
      :: granted -> step(state, intended, permit, permitted)
      :: else -> step(state, intended, refuse, refused); notRun[me] = true
      fi }
  /* The intent was not read back in time. */
  :: atomic { nfull(toLog) -> toLog ! (me + ABANDON);
      step(state, intended, abandon, abandoned); notRun[me] = true }
  :: goto finish /* the entry dies */
  fi;
#ifdef USE_PERMIT_LATE
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
  :: state != permitted -> goto finish
  :: state == permitted -> skip
  fi;
  if
  :: atomic { nfull(toLog) -> toLog ! (me + ABANDON);
      step(state, permitted, abandon, abandoned); notRun[me] = true };
    goto finish
  :: goto finish /* the entry dies */
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
finish:
  skip
}
