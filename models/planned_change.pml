/*
 * A planned change of one backend server: close to new work, acknowledgement
 * by every entry, wait for running work, order, reopen. Entries read the plan
 * late, may stand still, and may be replaced by a successor.
 *
 * Mechanisms that a define takes away:
 *   SILENCE_IS_CONSENT  the change goes on without acknowledgements
 *   NO_IDLE_WAIT        the order is sent while work runs
 *   NO_ACK_VERSION      an acknowledgement counts for a later closing too
 *   ACK_TOO_EARLY       an entry acknowledges before it stops sending work
 *   LOST_NEEDS_NO_ACK   one that was lost is ordered without acknowledgements
 */

#define ENTRIES 2
#define MAX_VERSION 6
#define MAX_WORK 3

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:backend = { open, closing, draining, ordering, settling, out };

mtype:backend state = open;
byte version = 1;        /* of the plan, one more with each record */
byte closedAt = 0;       /* the version that closed it to new work */
bool acknowledged = false;

byte readVersion[ENTRIES] = 1;
bool readOpen[ENTRIES] = true;
byte acked[ENTRIES] = 0; /* the newest closing version it acknowledged */
byte running[ENTRIES] = 0;
byte dispatched = 0;

#ifdef NO_ACK_VERSION
#define ACK_OF(e) (acked[e] > 0)
#else
#define ACK_OF(e) (acked[e] >= closedAt)
#endif
#ifdef SILENCE_IS_CONSENT
#define ALL_ACKED true
#else
#define ALL_ACKED (ACK_OF(0) && ACK_OF(1))
#endif
#ifdef LOST_NEEDS_NO_ACK
#define LOST_ACKED true
#else
#define LOST_ACKED ALL_ACKED
#endif
#ifdef NO_IDLE_WAIT
#define IDLE true
#else
#define IDLE (running[0] == 0 && running[1] == 0)
#endif

active [ENTRIES] proctype Entry()
{
  byte me = _pid;
end:
  do
  /* Reads the plan. */
  :: atomic { readVersion[me] != version ->
      readVersion[me] = version;
      readOpen[me] = (state == open) }
#ifdef ACK_TOO_EARLY
  :: atomic { state != open && acked[me] < closedAt -> acked[me] = closedAt }
#else
  :: atomic { !readOpen[me] && readVersion[me] >= closedAt &&
              acked[me] < closedAt -> acked[me] = closedAt }
#endif
  :: atomic { readOpen[me] && dispatched < MAX_WORK ->
      /* A leaving backend server gets no new work once all confirmed. */
      assert(!acknowledged);
      dispatched++;
      running[me]++ }
  :: atomic { running[me] > 0 -> running[me]-- }
  /* Killed and replaced: a successor reads the plan before it is ready, and
   * its incarnation settles the dead one's acknowledgement. */
  :: atomic { readVersion[me] != version || running[me] > 0 ->
      running[me] = 0;
      readVersion[me] = version;
      readOpen[me] = (state == open);
      if
      :: state != open -> acked[me] = closedAt
      :: else -> skip
      fi }
  od
}

#define NEW_RECORD version < MAX_VERSION -> version++
#define CLOSED closedAt = version; acknowledged = false
#define REOPENED acknowledged = false
#define CRASHED running[0] = 0; running[1] = 0
/* The backend server takes the order at once; work that runs would be cut. */
#define ORDERED assert(running[0] == 0 && running[1] == 0)

active proctype Steward()
{
end:
  do
  :: atomic { state == open && NEW_RECORD;
      step(state, open, close, closing); CLOSED }
  :: atomic { state == closing && ALL_ACKED && NEW_RECORD;
      step(state, closing, acknowledged, draining); acknowledged = true }
  :: atomic { state == draining && IDLE && NEW_RECORD;
      step(state, draining, idle, ordering) }
  :: atomic { state == closing && NEW_RECORD;
      step(state, closing, cancel, open); REOPENED }
  :: atomic { state == draining && NEW_RECORD;
      step(state, draining, cancel, open); REOPENED }
  :: atomic { state == ordering && NEW_RECORD;
      step(state, ordering, cancel, open); REOPENED }
  :: atomic { state == ordering && NEW_RECORD;
      step(state, ordering, withdraw, out) }
  :: atomic { state == ordering && NEW_RECORD;
      step(state, ordering, order, settling); ORDERED }
  /* One that was lost was never acknowledged: that is waited for first. */
  :: atomic { state == out && LOST_ACKED && !acknowledged ->
      acknowledged = true }
  :: atomic { state == out && acknowledged && IDLE && NEW_RECORD;
      step(state, out, order, settling); ORDERED }
  :: atomic { state == settling && NEW_RECORD;
      step(state, settling, applied, open); REOPENED }
  :: atomic { state == settling && NEW_RECORD;
      step(state, settling, failed, out) }
  :: atomic { state == out && NEW_RECORD;
      step(state, out, admit, open); REOPENED }
  /* A crash ends the work that ran there; it goes on elsewhere. */
  :: atomic { state == open && NEW_RECORD;
      step(state, open, lost, out); CLOSED; CRASHED }
  :: atomic { state == closing && NEW_RECORD;
      step(state, closing, lost, out); CRASHED }
  :: atomic { state == draining && NEW_RECORD;
      step(state, draining, lost, out); CRASHED }
  :: atomic { state == ordering && NEW_RECORD;
      step(state, ordering, lost, out); CRASHED }
  od
}
