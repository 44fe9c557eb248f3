/*
 * Models a planned change of one backend server: it is closed to new work, all
 * entries acknowledge this, the running work ends, the order is sent and the
 * backend server is opened again. Entries may read the plan late, pause, or be
 * replaced by a successor.
 *
 * Each of these defines removes a mechanism:
 *   NO_ACK_WAIT          the change proceeds without acknowledgements
 *   NO_IDLE_WAIT         the order is sent while work is running
 *   NO_ACK_VERSION       an acknowledgement is valid for later closings too
 *   ACK_BEFORE_STOP      an entry acknowledges before it stops sending work
 *   NO_ACK_WAIT_IF_LOST  a lost backend server gets an order without
 *                        acknowledgements
 */

#define ENTRIES 2
#define MAX_VERSION 6
#define MAX_WORK 3

#define step(aState, aFrom, aEvent, aTo) assert(aState == aFrom); aState = aTo

mtype:backend = { open, closing, draining, ordering, settling, out };

mtype:backend state = open;
byte version = 1;        /* of the plan, incremented with each record */
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
#ifdef NO_ACK_WAIT
#define ALL_ACKED true
#else
#define ALL_ACKED (ACK_OF(0) && ACK_OF(1))
#endif
#ifdef NO_ACK_WAIT_IF_LOST
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
  /* The entry reads the plan. */
  :: atomic { readVersion[me] != version ->
      readVersion[me] = version;
      readOpen[me] = (state == open) }
#ifdef ACK_BEFORE_STOP
  :: atomic { state != open && acked[me] < closedAt -> acked[me] = closedAt }
#else
  :: atomic { !readOpen[me] && readVersion[me] >= closedAt &&
              acked[me] < closedAt -> acked[me] = closedAt }
#endif
  :: atomic { readOpen[me] && dispatched < MAX_WORK ->
      /* No new work is sent once all entries have acknowledged the closing. */
      assert(!acknowledged);
      dispatched++;
      running[me]++ }
  :: atomic { running[me] > 0 -> running[me]-- }
  /* The entry is killed and replaced. The successor reads the plan before it is
   * ready, and its larger incarnation replaces the acknowledgement that the
   * killed entry owed. */
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
/* The backend server executes the order at once. Running work would be lost. */
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
  /* The closing of a lost backend server may not be acknowledged yet. The order
   * waits until it is. */
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
  /* A crash ends the work on the backend server. It continues elsewhere. */
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
