/*
 * One caller's streamed answer: engines that repeat a piece, leave one out,
 * send another request's piece, stall or end early, and an entry that goes on
 * elsewhere from its offset. A refusal before dispatch is truly not run.
 *
 * Mechanisms that a define takes away:
 *   NO_OFFSET_CHECK    pieces are passed on whatever their offset
 *   NO_ID_CHECK        pieces of another request are passed on
 *   TRUNCATED_IS_WHOLE an answer that ended early passes for whole
 *   REFUSE_AFTER_SEND  a request is refused as not run after it was sent
 */

#define TOKENS 3
#define MAX_SENDS 3
#define MINE 1
#define OTHER 2

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:request = { received, admitted, queued, dispatched, streaming, resuming,
                  completed, refused, failed, unknown, cancelled };
mtype:piece = { token, ending };

chan pieces = [2] of { mtype:piece, byte, byte }; /* kind, id, offset */
byte start = 0;       /* the offset that the newest engine starts from */
bool serving = false; /* an engine works on it */
byte executions = 0;

active proctype Engine()
{
  byte offset;
end:
  do
  :: serving -> offset = start;
    do
    :: serving && offset < TOKENS ->
      if
      :: pieces ! token, MINE, offset; offset++
      :: pieces ! token, MINE, offset         /* sent twice */
      :: offset++                             /* one is missing */
      :: pieces ! token, OTHER, offset        /* crossed */
      :: pieces ! ending, MINE, offset; break /* ends early */
      :: break                                /* silent for good */
      fi
    :: serving && offset == TOKENS -> pieces ! ending, MINE, offset; break
    :: !serving -> break
    od;
    serving = false
  od
}

#define EVENT(aKind, aId, aOffset) \
  (state == dispatched || state == streaming || state == resuming) && \
  pieces ? aKind, aId, aOffset
#define SILENT (!serving && empty(pieces))

inline Send()
{
  start = given; executions++; sends++; serving = true
}

active proctype Request()
{
  mtype:request state = received;
  mtype:piece kind;
  byte id, offset;
  byte given = 0;     /* tokens that the caller got, all in order */
  bool whole = false; /* the caller was told that the answer is whole */
  byte sends = 0;
  bool repeatable = true;

  if
  :: repeatable = false
  :: skip
  fi;
  if
  :: atomic { true -> step(state, received, refuse, refused) }
  :: atomic { true -> step(state, received, admit, admitted) }
  /* A repeated booking gets the stored answer and runs nothing. */
  :: atomic { true -> step(state, received, replay, completed);
      given = TOKENS; whole = true; assert(executions == 0) }
  fi;
  do
  :: atomic { state == admitted -> step(state, admitted, queue, queued) }
  :: atomic { state == admitted -> step(state, admitted, refuse, refused) }
  :: atomic { state == admitted -> step(state, admitted, cancel, cancelled) }
  :: atomic { state == admitted ->
      step(state, admitted, dispatch, dispatched); Send() }
  :: atomic { state == queued && sends < MAX_SENDS ->
      step(state, queued, dispatch, dispatched); Send() }
#ifdef REFUSE_AFTER_SEND
  :: atomic { state == queued -> step(state, queued, refuse, refused) }
#else
  :: atomic { state == queued && sends == 0 ->
      step(state, queued, refuse, refused) }
#endif
  :: atomic { state == queued -> step(state, queued, cancel, cancelled) }

  :: atomic { (state == dispatched || state == streaming ||
               state == resuming) && nempty(pieces) ->
      pieces ? kind, id, offset;
      if
      :: kind == token &&
#ifndef NO_ID_CHECK
         id == MINE &&
#endif
#ifndef NO_OFFSET_CHECK
         offset == given &&
#endif
         given < TOKENS ->
        /* The caller gets its own answer, in order. */
        assert(id == MINE);
        assert(offset == given);
        given++;
        if
        :: state == dispatched ->
          step(state, dispatched, first_token, streaming)
        :: state == resuming ->
          step(state, resuming, first_token, streaming)
        :: state == streaming -> skip
        fi
#ifdef TRUNCATED_IS_WHOLE
      :: kind == ending ->
#else
      :: kind == ending && given == TOKENS ->
#endif
        whole = true;
        if
        :: state == dispatched -> step(state, dispatched, answer, completed)
        :: state == streaming -> step(state, streaming, answer, completed)
        :: state == resuming -> step(state, resuming, answer, completed)
        fi
      :: else -> skip /* dropped and counted */
      fi;
      kind = 0; id = 0; offset = 0 }
  /* Nothing more comes from this engine. */
  :: atomic { state == dispatched && SILENT && repeatable ->
      step(state, dispatched, retry, queued) }
  :: atomic { state == dispatched && SILENT ->
      step(state, dispatched, fail, failed) }
  :: atomic { state == dispatched && SILENT && !repeatable ->
      step(state, dispatched, lose, unknown) }
  :: atomic { state == streaming && SILENT && sends < MAX_SENDS ->
      step(state, streaming, stall, resuming); Send() }
  :: atomic { state == streaming && SILENT ->
      step(state, streaming, fail, failed) }
  :: atomic { state == resuming && SILENT ->
      step(state, resuming, fail, failed) }
  :: atomic { state == dispatched ->
      step(state, dispatched, cancel, cancelled) }
  :: atomic { state == streaming ->
      step(state, streaming, cancel, cancelled) }
  :: atomic { state == resuming ->
      step(state, resuming, cancel, cancelled) }
  :: state == completed || state == refused || state == failed ||
     state == unknown || state == cancelled -> break
  od;
  serving = false;
  if
  :: state == completed -> assert(whole && given == TOKENS)
  :: state == refused -> assert(executions == 0)
  :: else -> assert(!whole)
  fi;
end:
  do
  :: pieces ? kind, id, offset
  od
}
