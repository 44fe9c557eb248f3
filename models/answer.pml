/*
 * Models the streamed answer to one caller. An engine may repeat or omit a
 * chunk, send a chunk of another request, stall or end early. The entry then
 * continues with another engine from the offset reached. A request that is
 * refused has not run. The model leaves out that the entry may also refuse a
 * queued request after an attempt that was sent; the entry then reports the
 * execution as unknown if the attempt may have run.
 *
 * Each of these defines removes a mechanism:
 *   NO_OFFSET_CHECK        chunks are forwarded whatever their offset
 *   NO_ID_CHECK            chunks of another request are forwarded
 *   TRUNCATED_IS_COMPLETE  an answer that ended early is taken for complete
 *   REFUSE_AFTER_SEND      a request is refused as not run after it was sent
 */

#define TOKENS 3
#define MAX_SENDS 3
#define OWN 1
#define OTHER 2

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:request = { received, admitted, queued, dispatched, streaming, resuming,
                  completed, refused, failed, unknown, cancelled };
mtype:chunk = { token, finish };

chan chunks = [2] of { mtype:chunk, byte, byte }; /* kind, id, offset */
byte start = 0;       /* the offset that the newest engine starts from */
bool serving = false; /* an engine works on the request */
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
      :: chunks ! token, OWN, offset; offset++
      :: chunks ! token, OWN, offset          /* sent twice */
      :: offset++                             /* omitted */
      :: chunks ! token, OTHER, offset        /* of another request */
      :: chunks ! finish, OWN, offset; break  /* ends early */
      :: break                                /* stalls for good */
      fi
    :: serving && offset == TOKENS -> chunks ! finish, OWN, offset; break
    :: !serving -> break
    od;
    serving = false
  od
}

#define EVENT(aKind, aId, aOffset) \
  (state == dispatched || state == streaming || state == resuming) && \
  chunks ? aKind, aId, aOffset
#define SILENT (!serving && empty(chunks))

inline Send()
{
  start = delivered; executions++; sends++; serving = true
}

active proctype Request()
{
  mtype:request state = received;
  mtype:chunk kind;
  byte id, offset;
  byte delivered = 0;    /* tokens sent to the caller, all in order */
  bool complete = false; /* whether the caller got the end of the answer */
  byte sends = 0;
  bool repeatable = true;

  if
  :: repeatable = false
  :: skip
  fi;
  if
  :: atomic { true -> step(state, received, refuse, refused) }
  :: atomic { true -> step(state, received, admit, admitted) }
  /* A repeated booking gets the stored answer and is not run again. */
  :: atomic { true -> step(state, received, replay, completed);
      delivered = TOKENS; complete = true; assert(executions == 0) }
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
               state == resuming) && nempty(chunks) ->
      chunks ? kind, id, offset;
      if
      :: kind == token &&
#ifndef NO_ID_CHECK
         id == OWN &&
#endif
#ifndef NO_OFFSET_CHECK
         offset == delivered &&
#endif
         delivered < TOKENS ->
        /* The caller gets the tokens of its own answer in order. */
        assert(id == OWN);
        assert(offset == delivered);
        delivered++;
        if
        :: state == dispatched ->
          step(state, dispatched, first_token, streaming)
        :: state == resuming ->
          step(state, resuming, first_token, streaming)
        :: state == streaming -> skip
        fi
#ifdef TRUNCATED_IS_COMPLETE
      :: kind == finish ->
#else
      :: kind == finish && delivered == TOKENS ->
#endif
        complete = true;
        if
        :: state == dispatched -> step(state, dispatched, answer, completed)
        :: state == streaming -> step(state, streaming, answer, completed)
        :: state == resuming -> step(state, resuming, answer, completed)
        fi
      :: else -> skip /* the chunk is discarded and counted */
      fi;
      kind = 0; id = 0; offset = 0 }
  /* No more chunks arrive from this engine. */
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
  :: state == completed -> assert(complete && delivered == TOKENS)
  :: state == refused -> assert(executions == 0)
  :: else -> assert(!complete)
  fi;
end:
  do
  :: chunks ? kind, id, offset
  od
}
